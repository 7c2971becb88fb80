import { askMember } from './memberQuestions';
import type { GroupContext } from './groupContext';
import type { Member } from './member';

/** Asks for evidence that does not come by itself. */
export interface EvidenceAsker {
  /** Starts the wait for evidence, unless it runs. */
  start: () => void;
  stop: () => void;
}

/**
 * Time in which evidence usually rides on answers to reads. A question costs a place at a member and
 * a price, while callers' goals are 500 ms and more.
 */
const PATIENCE_MILLISECONDS = 100;

/** Pause between questions that did not bring the evidence; the replica may lag. */
const REPEAT_MILLISECONDS = 150;

/** Time limit of a question; another replica is asked after it. */
const QUESTION_TIMEOUT_MILLISECONDS = 400;

/** One question serves all statements that wait when it is sent. */
export function createEvidenceAsker(context: GroupContext): EvidenceAsker {
  const { evidence, belief, members, clock } = context;
  let timer: NodeJS.Timeout | undefined;
  let round = 0;

  const schedule = (milliseconds: number) => {
    timer = setTimeout(() => {
      void ask();
    }, milliseconds);
  };

  async function ask(): Promise<void> {
    if (!evidence.hasWaits()) {
      timer = undefined;
      round = 0;
      return;
    }
    const member = nextReplica();
    round += 1;
    if (member) await askMember(context, member, { type: 'status' }, QUESTION_TIMEOUT_MILLISECONDS);
    schedule(REPEAT_MILLISECONDS);
  }

  /** The replicas in turn, the one that answers soonest first. */
  function nextReplica(): Member | undefined {
    const primary = belief.find();
    const replicas = [...members.values()]
      .filter((member) => member !== primary && member.missingSince === undefined)
      .sort(
        (left, right) => left.latency.current(clock.now()) - right.latency.current(clock.now()),
      );
    const reachable = replicas.filter(({ avoidUntil }) => avoidUntil <= clock.now());
    const choice = reachable.length > 0 ? reachable : replicas;
    return choice[round % Math.max(1, choice.length)];
  }

  return {
    start: () => {
      if (timer === undefined) schedule(PATIENCE_MILLISECONDS);
    },
    stop: () => clearTimeout(timer),
  };
}
