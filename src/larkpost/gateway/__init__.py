"""The program that ``larkpost run`` starts: rollouts and client requests on the users' platform.

One process on each machine that clients reach. It owns what its daemon knows of the fleet and of
the servers, and the batches that it runs; what must last lies in the platform's store. It reaches
the store, the servers and the callers by ports, typed interfaces that `larkpost.platform`
implements, and imports nothing of that adapter, of `larkpost.standalone`, or of the rehearsal.

In the order in which a request meets them:

- `proxy`: client requests: admission, queue, choice of a server, attempts, retries.
- `placement`: whether work may go to an instance at all: evacuated zones, regions, cold instances.
- `quarantine`: requests that crash their servers, and who may still send one.
- `fairness`: the shares of tenants in the places of a service, and their use by all daemons.
- `rollouts`: batches of items: storage, ownership, placement at engines, results, scores.
- `blackboard`: what a daemon knows of the world; controllers write it, everything else reads it.
- `controllers`: feeds, membership, leases, true time, and the orders of weights to engines.
- `servers`: the port to the servers that run requests.
- `store`: the port to the platform's store, and how its tables are followed.
- `usage`, `scaling`: reports of what tenants used, and of how many servers the demand takes.
- `memory`: how many bytes are held for others, and who gives way when it is too many.
- `observability`: the log and the metrics, and the commands that read the log.
- `assembly`, `daemon`: how a daemon is put together.

A folder imports nothing of those that stand after it in this order: `larkpost.common`,
`observability`, `memory`, `store`, `blackboard`, `servers`, `controllers`, `usage`, `placement`,
`quarantine`, `fairness`, `proxy`, `rollouts`, `scaling`, `assembly`, `daemon`. `usage` stands above
`controllers`, as reports are sent under leases and by true time; `proxy` needs only its counter.
"""
