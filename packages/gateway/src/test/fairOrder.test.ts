import { expect, it } from 'vitest';
import type { LoadControl } from '../index';
import { createGatewayMetrics } from '../metrics';
import { GROUP } from './fixture';
import { createDirectoryEntry, startTestGateway } from './testGateway';

const waitForEvents = () =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, 5);
  });

/** Runs statements of two teams, which are asked for one team after the other. */
async function runTeams(loadControls: LoadControl[], smallRate = 1_000) {
  const limits = { small: { rate: smallRate, burst: 50 }, large: { rate: 3_000, burst: 50 } };
  const teams = Object.entries(limits).map(([name, limit]) => ({
    name,
    keyDigests: [`key-${name}`],
    limit,
  }));
  const test = startTestGateway({ teams, loadControls });
  test.updateMembers([createDirectoryEntry()]);
  await waitForEvents();
  for (const name of ['small', 'large']) {
    for (let index = 0; index < 12; index += 1) {
      test.openSession(`key-${name}`).read(`${name}-${index}`);
    }
    await waitForEvents();
  }
  const metrics = await createGatewayMetrics(test.gateway, { getStoreCalls: () => [] }).render();
  for (let index = 0; index < test.forwarded.length; index += 1) {
    test.forwarded[index]!.answer();
    await waitForEvents();
  }
  const statistics = test.gateway.getWaitStatistics()[GROUP]!;
  test.close();
  return { order: test.forwarded.map(({ id }) => id.split('-')[0]), metrics, statistics };
}

it('orders statements by the rate limits of their teams where the control is enabled', async () => {
  // Guards against weights that do not arrive at the queues of the members.
  const { order, metrics, statistics } = await runTeams(['fairOrder']);
  expect(order.length).toBe(24);
  // The first two run at once; of the next 12, three of four are of the team with the larger weight.
  const isLarge = order.slice(2, 14).map((name) => name === 'large');
  expect(isLarge.filter(Boolean).length).toBe(9);
  expect(metrics).toContain('wisterialift_team_wait_statements{team="large"} 12');
  expect(metrics).toContain(`wisterialift_wait_statements{group="${GROUP}",priority="1"} 22`);
  expect(statistics.getTeams().get('small')).toMatchObject({ waiting: 0, admitted: 10 });
});

it('orders statements of a team that may only use its burst', async () => {
  // Guards against a weight of 0, by which no share can be computed.
  const { order } = await runTeams(['fairOrder'], 0);
  expect(order.length).toBe(24);
  expect(order.slice(2, 14).filter((name) => name === 'large').length).toBeGreaterThan(10);
});

it('orders statements by arrival where it is not enabled', async () => {
  // Guards against a change in deployments that do not ask for the control.
  const { order, metrics } = await runTeams([]);
  expect(order).toEqual([...Array(12).fill('small'), ...Array(12).fill('large')]);
  expect(metrics).not.toContain('wait_statements{');
});
