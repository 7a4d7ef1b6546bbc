"""The demonstration runs to its end in both parts."""

from __future__ import annotations

import ast
import asyncio
import pathlib
import sys

import cowslipshift

DEMO_LIMIT_S = 120.0
PACKAGE = pathlib.Path(cowslipshift.__file__).parent


# Guards against a demo that nobody notices to be broken.
async def test_demo_ends_with_status_0() -> None:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cowslipshift.demo",
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        async with asyncio.timeout(DEMO_LIMIT_S):
            output, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
    text = output.decode()
    assert process.returncode == 0, text
    assert "A client looks up the hosts" in text
    assert "the store stops answering: requests are still served" in text


# The parameters of a lambda have no types, so a name that is misspelt there
# passes the type check.
def test_no_lambda_of_the_package_has_parameters_with_defaults() -> None:
    found = [
        f"{path.relative_to(PACKAGE)}:{node.lineno}"
        for path in sorted(PACKAGE.rglob("*.py"))
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Lambda)
        and (node.args.defaults or node.args.kw_defaults)
    ]
    assert found == []
