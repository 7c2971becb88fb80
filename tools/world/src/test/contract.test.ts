import { describe, expect, it } from 'vitest';
import { createTestGroup } from './fixture';

describe('a simulated database', () => {
  it('takes as many connections as it may, and refuses the next', async () => {
    const { connect, settle } = createTestGroup();
    await settle(Promise.all([connect('db-1'), connect('db-1'), connect('db-1')]));
    expect(await settle(connect('db-1'))).toMatchObject({ reason: 'tooManyConnections' });
  });

  it('drops the connections of a machine that lost power after three seconds', async () => {
    const { connect, settle, databases, host } = createTestGroup();
    await settle(connect('db-1'));
    host.losePower();
    await settle(Promise.resolve(), 2_900);
    const before = databases.get('db-1')!.connectionCount();
    await settle(Promise.resolve(), 200);
    expect([before, databases.get('db-1')!.connectionCount()]).toEqual([1, 0]);
  });

  it('refuses what does not fit its slots and its queue', async () => {
    const { connect, settle, read } = createTestGroup({ slots: 1, queueLength: 0 });
    const first = await settle(connect('db-2'));
    const second = await settle(connect('db-2'));
    const answers = await settle(Promise.all([read(first), read(second)]));
    expect(answers.map(({ outcome }) => outcome).sort()).toEqual(['completed', 'refused']);
    expect(answers.find(({ outcome }) => outcome === 'refused')).toMatchObject({ reason: 'busy' });
  });

  it('takes no write as a replica', async () => {
    const { connect, settle, write } = createTestGroup();
    const replica = await settle(connect('db-2'));
    expect(await settle(write(replica, 'w1'))).toMatchObject({ reason: 'readOnly' });
  });

  it('refuses a read of what it has not applied, and serves it later', async () => {
    const { connect, settle, write, read, replication } = createTestGroup();
    replication.setPace('db-2', { lag: 2_000 });
    const [primary, replica] = await settle(Promise.all([connect('db-1'), connect('db-2')]));
    const { position } = await settle(write(primary, 'w1'), 100);
    expect(await settle(read(replica, position), 100)).toMatchObject({ reason: 'lagging' });
    await settle(Promise.resolve(), 12_000);
    expect(await settle(read(replica, position))).toMatchObject({ outcome: 'completed' });
  });

  it('keeps no write of a primary that was replaced before the write was copied', async () => {
    const { connect, settle, write, replication } = createTestGroup();
    replication.setPace('db-2', { isDeaf: true });
    replication.setPace('db-3', { isDeaf: true });
    const primary = await settle(connect('db-1'));
    await settle(write(primary, 'w1'));
    replication.members.get('db-1')!.isUp = false;
    replication.setPace('db-2', undefined);
    replication.promote('db-2');
    await settle(Promise.resolve(), 2_000);
    const { role, log } = replication.members.get('db-2')!;
    expect({ role, writes: log.flatMap(({ writes }) => writes) }).toEqual({
      role: 'primary',
      writes: [],
    });
  });

  it('receives nothing while it is stopped, and again after a promotion', async () => {
    const { connect, settle, write, replication } = createTestGroup();
    const primary = await settle(connect('db-1'));
    const replica = replication.members.get('db-3')!;
    replication.stop(replica, 2);
    await settle(write(primary, 'w1'));
    const stopped = replica.log.length;
    replication.promote('db-2');
    await settle(Promise.resolve(), 2_000);
    expect([stopped, replica.log.length]).toEqual([1, 2]);
  });

  it('comes back under a new id at its address, with its log', async () => {
    const { connect, settle, write, replication, databases } = createTestGroup();
    await settle(write(await settle(connect('db-1')), 'w1'));
    const database = databases.get('db-1')!;
    database.losePower();
    database.restart({ isEmpty: false, isRenamed: true });
    expect(await settle(connect('db-1'))).toMatchObject({ reason: 'wrongMember' });
    const renamed = await settle(connect(database.memberId(), 'db-1'));
    expect(await settle(write(renamed, 'w2'))).toMatchObject({ signature: database.memberId() });
    const { log } = replication.members.get('db-1')!;
    expect(log.flatMap(({ writes }) => writes)).toEqual(['w1', 'w2']);
  });

  it('knows nothing after a restart that loses its log', async () => {
    const { connect, settle, write, replication, databases } = createTestGroup();
    const primary = await settle(connect('db-1'));
    await settle(write(primary, 'w1'));
    replication.setPace('db-2', { isDeaf: true });
    databases.get('db-2')!.restart({ isEmpty: true });
    expect(replication.members.get('db-2')).toMatchObject({ role: 'replica', log: [], term: 0 });
  });
});
