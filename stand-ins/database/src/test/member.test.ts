import { describe, expect, it } from 'vitest';
import type { Engine } from '../lib/engine/createEngine';
import { createMember } from '../lib/group/createMember';
import { createLog } from '../lib/log/createLog';

const PRIMARY = { name: 'a', address: '127.0.0.1:1' };

describe('a member', () => {
  it('changes nothing when it is told again whom to follow', () => {
    // After a change of primary every proxy tells the replicas whom to follow. A replica that opens
    // its replication link anew at each order confirms nothing meanwhile, and writes wait for it.
    const member = createMember({ name: 'b', log: createLog(), engine: {} as Engine });
    let changes = 0;
    member.onChange(() => {
      changes += 1;
    });
    member.follow(2, { ...PRIMARY });
    member.follow(2, { ...PRIMARY });
    expect(changes).toBe(1);
    member.follow(3, { ...PRIMARY });
    expect(changes).toBe(2);
  });
});
