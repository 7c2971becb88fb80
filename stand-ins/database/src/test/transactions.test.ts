import { describe, expect, test } from 'vitest';
import { addRecord, codeOf, readNotes, startGroup } from './helpers';

describe('transactions', () => {
  test('show nothing before COMMIT, then all of it as one log entry', async () => {
    const [primary] = await startGroup();
    const writer = await primary!.connect();
    const reader = await primary!.connect();
    await writer.beginTransaction();
    await addRecord(writer, 'one');
    await addRecord(writer, 'two');
    expect(await readNotes(writer)).toEqual(['one', 'two']);
    expect(await readNotes(reader)).toEqual([]);
    await writer.commit();
    expect(await readNotes(reader)).toEqual(['one', 'two']);
    expect((await primary!.status()).logEnd).toEqual({ term: 1, index: 3 });
  });

  test.each(['ROLLBACK', 'a reset', 'a closed connection'])(
    'end without trace by %s',
    async (end) => {
      const [primary] = await startGroup();
      const writer = await primary!.connect();
      const next = await primary!.connect();
      await writer.beginTransaction();
      await addRecord(writer, 'undone');
      if (end === 'ROLLBACK') await writer.rollback();
      else if (end === 'a reset') await writer.reset();
      else writer.destroy();
      expect(await addRecord(next, 'kept')).toBe('1:3');
      expect(await readNotes(next)).toEqual(['kept']);
    },
  );

  test('are refused at COMMIT once their primary is fenced', async () => {
    // A caller commits while its primary is being replaced. Another member may already write in
    // the new term, so the COMMIT must change nothing and say so.
    const [primary] = await startGroup();
    const writer = await primary!.connect();
    await writer.beginTransaction();
    await addRecord(writer, 'too late');
    await primary!.control('GROUP FENCE TERM 2');
    expect(await codeOf(writer.commit())).toBe(1290);
    expect(await readNotes(writer)).toEqual([]);
    expect((await primary!.status()).logEnd).toEqual({ term: 1, index: 2 });
  });
});
