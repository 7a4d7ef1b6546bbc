"""The ``cowslipshift`` program."""

from __future__ import annotations

import sys

import fire
import uvloop

from cowslipshift import exceptions
from cowslipshift.console import output
from cowslipshift.console.commands import accounts
from cowslipshift.console.commands import config
from cowslipshift.console.commands import defaults
from cowslipshift.console.commands import explain
from cowslipshift.console.commands import fleet
from cowslipshift.console.commands import standin
from cowslipshift.console.commands import traffic

FAILURE_EXIT_STATUS = 1

COMMANDS = {
    "config": config.ConfigCommand,
    "default": defaults.DefaultCommand,
    "exception": defaults.ExceptionCommand,
    "account": accounts.AccountCommand,
    "key": accounts.KeyCommand,
    "move": traffic.MoveCommand,
    "shift": traffic.ShiftCommand,
    "fleet": fleet.FleetCommand,
    "lookup": fleet.lookup,
    "explain": explain.explain,
    "standin": standin.StandinCommand,
}


def main() -> None:
    """Run the command line; on an error, print it and exit with status 1."""
    uvloop.install()
    try:
        fire.Fire(COMMANDS, name="cowslipshift")
    except exceptions.CowslipshiftError as error:
        output.print_error(error)
        sys.exit(FAILURE_EXIT_STATUS)


if __name__ == "__main__":
    main()
