"""Stand-ins of the platform, backend servers and clients for the review.

They use the standard library only and speak what the users' pages say.
"""
