import { expect, it } from 'vitest';
import { startObjectStore } from '../index';

it('keeps the revision at which an object was created, until it is removed', async () => {
  const store = await startObjectStore();
  const readMeta = async () => {
    const response = await fetch(`http://${store.address}/v1/objects/servers/a`);
    return ((await response.json()) as { meta: { created: number; revision: number } }).meta;
  };
  store.put('servers', 'a', { state: 'ready' });
  const first = await readMeta();
  store.put('servers', 'a', { state: 'draining' });
  const changed = await readMeta();
  store.remove('servers', 'a');
  store.put('servers', 'a', { state: 'ready' });
  const listedAgain = await readMeta();
  await store.close();
  expect(changed.created).toBe(first.created);
  expect(changed.revision).toBeGreaterThan(first.revision);
  expect(listedAgain.created).toBe(listedAgain.revision);
});
