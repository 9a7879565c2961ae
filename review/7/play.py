"""A slow list service: each call is answered a little over 2 s after it was made, and a server drains."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import (
    RULE_SLACK,
    Balancer,
    CannotRun,
    Case,
    ListService,
    Server,
    arrivals,
    check_drain,
    main,
    settings,
)

# Waits 1.985 s for its turn (the site's calls fail after 2 s), and takes 20 ms each way.
SLOW_ANSWER = 1.985 + 2 * 0.020
GRACE = 1.0
TOLD_WITHIN = 6.0  # after the service had it and could be reached


async def play(case: Case) -> None:
    servers = [Server(case, name) for name in ("one", "two", "three", "four")]
    for server in servers:
        await server.start()
    service = ListService(case, servers)
    service.answer_time = SLOW_ANSWER if case.has_trouble else 0.2
    known = service.known()
    service.set_state(servers[0], "DRAINING")  # the list that the balancer last had is older
    contract = {"drain_grace_us": int(GRACE * 1e6)}
    config = {"settings": settings(contract=contract), "known": known}
    balancer = Balancer(case, "n1", await service.start(), config)
    await balancer.start()
    await arrivals(case, balancer, per_second=8, until=case.now() + 20)
    if not service.calls or min(len(server.opened) for server in servers[1:]) < 10:
        raise CannotRun("the list was not asked for, or the other servers got no sessions")
    first_call = service.calls[0]
    check_drain(
        case, servers[0], first_call + TOLD_WITHIN + GRACE + RULE_SLACK,
        f"told 6 s after the service could be reached (it had the first call at {first_call:.3f}), grace 1 s",
    )  # fmt: skip


main(__file__, play)
