import type { ProbeIndirectly } from '../groups/primaryProbe';
import type { Clock } from '../ports/clock';
import type { HolderSelector } from './holderSelector';

/** Two status queries of the other instance and the way there and back. */
const ANSWER_TIMEOUT_MILLISECONDS = 900;

/** Creates a probe by all other holders of a group: callers are served through them alone. */
export function createIndirectProbe({
  group,
  holders,
  clock,
}: {
  group: string;
  holders: Pick<HolderSelector, 'listOtherLinks'>;
  clock: Clock;
}): ProbeIndirectly {
  return async (memberId, onLogEnd) => {
    const answerBy = clock.now() + ANSWER_TIMEOUT_MILLISECONDS;
    await Promise.all(
      holders.listOtherLinks(group).map(async (link) => {
        const outcome = await link.request({ primaryProbe: { group, memberId } }, answerBy);
        const logEnd = outcome.type === 'answered' ? outcome.response.probedLogEnd : undefined;
        if (logEnd) onLogEnd({ term: logEnd.term, index: logEnd.index });
      }),
    );
  };
}
