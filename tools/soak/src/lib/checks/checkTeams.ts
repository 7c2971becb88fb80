import type { Violation } from '../load/history';
import { teamOfCaller } from '../load/soakTeams';
import type { World } from '../world/startWorld';

/** Each statement ran on a connection that was opened for its caller's team. */
export function checkTeams({ databases }: World): Violation[] {
  const runs = databases.flatMap(({ runs: list }) => list());
  const foreign = runs.filter(({ id, client }) => {
    const [caller = ''] = id.split('.');
    return caller !== 'check' && client !== teamOfCaller(caller).name;
  });
  return foreign.map(({ id, client }) => ({
    promise: 'statements run for their own team',
    detail: `${id} ran for ${client}`,
  }));
}
