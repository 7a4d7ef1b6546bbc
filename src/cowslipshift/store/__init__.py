"""Client of the etcd store, its keys, and the interface of revisioned stores.

`cowslipshift.platform` implements that interface for the platform's store.
"""
