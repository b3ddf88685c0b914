"""A request makes each runner that runs it go dark, and comes again.

A runner that goes dark sends nothing more, not even the end of its
connections. It is back after some seconds, as a new incarnation.
"""

import asyncio
import time

import deployment as deployments

ENTRIES = 3
RUNNERS = 8
BODY = b'the request that crashes what runs it'
COPIES = 9
PAUSE_SECONDS = 1.0
BACK_SECONDS = 4.5
# Retries that the rule allows once it has crashed the third runner.
MAX_RETRIES = 3


async def play(deployment):
    record = deployment.record
    crashes = []  # (time, attempt) of each run, which crashed its runner
    senders = {}  # entry by attempt

    async def serve(runner, request, channel):
        attempt = request.headers['attempt-id']
        if request.body == BODY:
            crashes.append((time.monotonic(), attempt))
            is_dark = deployments.has_trouble()
            record.write(
                f'runner {runner.name} begins to run {attempt} from'
                f' {senders[attempt].name} and'
                f' {"goes dark" if is_dark else "crashes"}'
            )
            if not is_dark:
                runner.crash(BACK_SECONDS)
                return
            runner.go_dark(BACK_SECONDS)
        while not runner.is_up:
            await asyncio.sleep(1)
        await asyncio.sleep(0.02)
        await channel.answer(200, b'sound', runner.sign(request))

    deployment.runners += [
        deployments.Runner(deployment, 'web', 'a', serve)
        for _ in range(RUNNERS)
    ]
    routes = [deployments.make_route('lists', 'idempotent', 'web')]
    await deployment.start(deployments.make_configuration(routes), ENTRIES)

    async def send_sound():
        number = 0
        while True:
            number += 1
            entry = deployment.entries[number % ENTRIES]
            data = deployments.build_request(
                f'sound-{number}', f'/lists/{number}', body=b'%d' % number
            )
            await deployments.call(entry.front, data, 5)
            await asyncio.sleep(0.1)

    deployment.begin(send_sound())
    for number in range(COPIES):
        entry = deployment.entries[number % ENTRIES]
        attempt = f'again-{number + 1}'
        senders[attempt] = entry
        data = deployments.build_request(attempt, '/lists/1', body=BODY)
        answer = await deployments.call(entry.front, data, 6)
        record.write(f'{attempt} at {entry.name}: {answer}')
        await asyncio.sleep(PAUSE_SECONDS)
    if len(crashes) < 3:
        raise deployments.CannotRun('it has not crashed three runners')
    third = crashes[2][0]
    late = [
        attempt
        for at, attempt in crashes
        if at > third + deployments.STABLE_SECONDS
        and senders[attempt].is_in_touch(at)
    ]
    record.write(
        f'{len(crashes)} runners crashed; {len(late)} of these sends came from'
        f' machines in touch over {deployments.STABLE_SECONDS} s after the'
        f' third crash, {MAX_RETRIES} are allowed: {", ".join(late)}'
    )
    if len(late) > MAX_RETRIES:
        return deployments.BROKEN
    return deployments.HELD


if __name__ == '__main__':
    deployments.main(play)
