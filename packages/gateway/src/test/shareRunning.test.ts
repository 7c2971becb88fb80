import { expect, it, vi } from 'vitest';
import { shareRunning } from '../lib/timing/shareRunning';

it('a shared call runs once for all who wait for it, and anew afterwards', async () => {
  const call = vi.fn(async () => call.mock.calls.length);
  const callOnce = shareRunning(call);
  expect(await Promise.all([callOnce(), callOnce()])).toEqual([1, 1]);
  expect(await callOnce()).toBe(2);
});

it('a shared call that fails runs anew', async () => {
  const call = vi.fn().mockRejectedValueOnce(new Error('no answer')).mockResolvedValueOnce('value');
  const callOnce = shareRunning(call);
  await expect(callOnce()).rejects.toThrow('no answer');
  expect(await callOnce()).toBe('value');
});
