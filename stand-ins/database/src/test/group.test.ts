import { describe, expect, onTestFinished, test, vi } from 'vitest';
import { createSlots } from '../lib/session/createSlots';
import { addRecord, codeOf, readNotes, startDatabase, startGroup, waitForIndex } from './helpers';

describe('a group', () => {
  test('accepts each term once, and one primary in it', async () => {
    const [a1, a2] = await startGroup('a2');
    expect(await a2!.control('GROUP PROMOTE TERM 2')).toBe(4100);
    expect(await a2!.control('GROUP FENCE TERM 2')).toMatchObject({ currentTerm: 2 });
    expect(await a2!.control('GROUP FENCE TERM 2')).toBe(4100);
    const promoted = await a2!.control('GROUP PROMOTE TERM 2');
    expect(promoted).toMatchInlineSnapshot(`
      {
        "applied": {
          "index": 3,
          "term": 2,
        },
        "currentTerm": 2,
        "logEnd": {
          "index": 3,
          "term": 2,
        },
        "member": "a2",
        "role": "primary",
        "termStarts": [
          {
            "start": 0,
            "term": 1,
          },
          {
            "start": 2,
            "term": 2,
          },
        ],
        "voters": {
          "incarnations": {},
          "position": {
            "index": 0,
            "term": 0,
          },
        },
      }
    `);
    expect(await a2!.control('GROUP PROMOTE TERM 2')).toEqual(promoted);
    const follow = `GROUP FOLLOW TERM 2 PRIMARY 'a2' AT '${a2!.address}'`;
    expect(await a2!.control(follow)).toBe(4100);
    expect(await a1!.control(follow)).toMatchObject({ role: 'replica', following: 'a2' });
    expect(await a1!.control('GROUP PROMOTE TERM 2')).toBe(4100);
  });

  test('names voters in the log, one after the other', async () => {
    const [a1, a2] = await startGroup('a2');
    const name = (index: number, uuid: string) =>
      `GROUP VOTERS TERM 1 AFTER TERM ${Math.min(index, 1)} INDEX ${index} ARE '{"a2":"${uuid}"}'`;
    expect(await a2!.control(name(0, 'x'))).toBe(4100);
    const named = { position: { term: 1, index: 3 }, incarnations: { a2: 'x' } };
    expect(await a1!.control(name(0, 'x'))).toMatchObject({ voters: named });
    expect(await a1!.control(name(0, 'y'))).toBe(4100);
    await waitForIndex(a2!, 3);
    expect((await a2!.status()).voters).toEqual(named);
    await a1!.stop();
    const restarted = await startDatabase({ name: 'a1', directory: a1!.directory });
    expect((await restarted.status()).voters).toEqual(named);
  });

  test('takes nothing of a lower term after a fence', async () => {
    const [a1, a2] = await startGroup('a2');
    // Longer than any test runs: the entry is still on its way when the fence is sent.
    await a2!.setFaults({ replicationLagMilliseconds: 60_000 });
    const writer = await a1!.connect();
    await addRecord(writer, 'on its way');
    await a2!.control('GROUP FENCE TERM 2');
    await addRecord(writer, 'after the fence');
    await a2!.setFaults({ replicationLagMilliseconds: 0 });
    await a2!.control(`GROUP FOLLOW TERM 3 PRIMARY 'a1' AT '${a1!.address}'`);
    await addRecord(writer, 'refused by the term');
    expect((await a2!.status()).logEnd).toEqual({ term: 1, index: 2 });
  });

  test('brings a replaced primary back onto the log of the new one', async () => {
    // The old primary is cut from its group and takes writes that nobody else holds. It comes
    // back, follows the new primary, and its reads must no longer show those writes.
    const [a1, a2] = await startGroup('a2');
    await a1!.setFaults({ cutFromGroup: true });
    const oldWriter = await a1!.connect();
    await addRecord(oldWriter, 'lost one');
    await addRecord(oldWriter, 'lost two');
    await a2!.control('GROUP FENCE TERM 2');
    await a2!.control('GROUP PROMOTE TERM 2');
    await addRecord(await a2!.connect(), 'kept');
    await a1!.setFaults({ cutFromGroup: false });
    await a1!.control(`GROUP FOLLOW TERM 2 PRIMARY 'a2' AT '${a2!.address}'`);
    while ((await a1!.status()).logEnd.term < 2) await a1!.status();
    await waitForIndex(a1!, 4);
    expect(await readNotes(oldWriter)).toEqual(['kept']);
    expect((await a1!.status()).termStarts).toEqual((await a2!.status()).termStarts);
    expect(await codeOf(addRecord(oldWriter, 'at a replica'))).toBe(1290);
  });

  test('delays the log by one lag and the reads by the other', async () => {
    const [a1, a2, a3] = await startGroup('a2', 'a3');
    await a2!.setFaults({ replicationLagMilliseconds: 60_000 });
    await a3!.setFaults({ applyLagMilliseconds: 60_000 });
    await addRecord(await a1!.connect(), 'late');
    while ((await a3!.status()).logEnd.index < 3) await a3!.status();
    expect((await a2!.status()).logEnd.index).toBe(2);
    expect((await a3!.status()).applied.index).toBe(2);
    await a2!.setFaults({ replicationLagMilliseconds: 0 });
    await a3!.setFaults({ applyLagMilliseconds: 0 });
    await Promise.all([waitForIndex(a2!, 3), waitForIndex(a3!, 3)]);
    expect(await readNotes(await a3!.connect())).toEqual(['late']);
  });

  test('keeps term, role and log over a restart', async () => {
    const [a1, a2] = await startGroup('a2');
    await addRecord(await a1!.connect(), 'kept');
    await waitForIndex(a2!, 3);
    await a1!.stop();
    await a2!.control('GROUP FENCE TERM 5');
    await a2!.stop();
    const restarted = await startDatabase({ name: 'a2', directory: a2!.directory });
    expect(await restarted.control('GROUP FENCE TERM 5')).toBe(4100);
    expect(await restarted.status()).toMatchObject({ currentTerm: 5, logEnd: { index: 3 } });
    expect(await readNotes(await restarted.connect())).toEqual(['kept']);
  });
});

describe('faults', () => {
  test('lose an answer after the change took effect', async () => {
    const [primary] = await startGroup();
    await primary!.setFaults({ loseNextAnswers: 1 });
    expect(await codeOf(addRecord(await primary!.connect(), 'applied'))).toBe(0);
    expect(await readNotes(await primary!.connect())).toEqual(['applied']);
  });

  test('freeze, and run after the thaw what had arrived', async () => {
    const [primary] = await startGroup();
    const writer = await primary!.connect();
    await primary!.setFaults({ frozen: true });
    const written = addRecord(writer, 'while frozen');
    const connected = primary!.connect();
    await primary!.setFaults({ frozen: false });
    expect(await written).toBe('1:3');
    expect(await readNotes(await connected)).toEqual(['while frozen']);
  });

  test('queue statements beyond the slots', async () => {
    vi.useFakeTimers();
    onTestFinished(() => {
      vi.useRealTimers();
    });
    const slots = createSlots(1);
    const finished: string[] = [];
    void slots.occupy(40).then(() => finished.push('first'));
    void slots.occupy(40).then(() => finished.push('second'));
    await vi.advanceTimersByTimeAsync(79);
    expect(finished).toEqual(['first']);
    await vi.advanceTimersByTimeAsync(1);
    expect(finished).toEqual(['first', 'second']);
  });
});
