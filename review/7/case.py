"""A runner answers 503 without ``Not-Executed`` to what it has run.

The client takes 503 as the promise that its request has not run, and sends it
again under a new id, which runs as well.
"""

import asyncio

import deployment as deployments

ENTRIES = 2
RUNNERS = 7
# One runner of seven fails two of five requests; its health check is good.
FAILING = 1
FAILED_OF_FIVE = 2
ORDERS = 140


async def play(deployment):
    record = deployment.record
    runs = {}  # runs by attempt
    counts = {}  # runs by runner

    async def serve(runner, request, channel):
        attempt = request.headers['attempt-id']
        runs[attempt] = runs.get(attempt, 0) + 1
        counts[runner] = counts.get(runner, 0) + 1
        await asyncio.sleep(0.03)
        is_failing = (
            deployments.has_trouble()
            and runner in deployment.runners[:FAILING]
            and counts[runner] % 5 < FAILED_OF_FIVE
        )
        status = 503 if is_failing else 200
        if is_failing:
            record.write(f'runner {runner.name} has run {attempt}: {status}')
        body = b'out of order' if is_failing else b'posted'
        await channel.answer(status, body, runner.sign(request))

    deployment.runners += [
        deployments.Runner(deployment, 'web', 'a', serve)
        for _ in range(RUNNERS)
    ]
    routes = [deployments.make_route('orders', 'non_idempotent', 'web')]
    await deployment.start(deployments.make_configuration(routes), ENTRIES)
    broken = []
    twice = 0
    for number in range(ORDERS):
        entry = deployment.entries[number % ENTRIES]
        ran = 0
        for again in range(2):
            attempt = f'order-{number}-{again + 1}'
            data = deployments.build_request(attempt, '/orders/1', body=b'x')
            answer = await deployments.call(entry.front, data, 5)
            record.write(f'{attempt} at {entry.name}: {answer}')
            ran += runs.get(attempt, 0)
            if answer.status not in (408, 421, 429, 503):
                break
            if runs.get(attempt):
                broken.append(attempt)
        twice += ran > 1
    record.write(
        f'{len(broken)} of {len(runs)} requests that ran were answered with a'
        f' promise that they had not; {twice} of {ORDERS} orders ran twice'
    )
    return deployments.BROKEN if broken else deployments.HELD


if __name__ == '__main__':
    deployments.main(play)
