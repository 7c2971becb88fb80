import type { CancelTimer } from '../ports/clock';
import { askMember } from './memberQuestions';
import type { GroupContext } from './groupContext';
import type { Member } from './member';

/** Polls replicas for evidence that regular answers have not provided. */
export interface EvidencePoller {
  /**
   * Polls after `delay` milliseconds and then repeatedly.
   *
   * @returns a function that stops the polling.
   */
  startPolling: (delay: number) => () => void;
  stop: () => void;
}

/** Pause between polls, in which a lagging replica can catch up. */
const POLL_INTERVAL_MILLISECONDS = 150;

/** Time limit of a poll, after which another replica is polled. */
const POLL_TIMEOUT_MILLISECONDS = 400;

interface Wait {
  dueAt: number;
  pollCount: number;
}

/** Creates a poller in which one poll serves all waiting statements. */
export function createEvidencePoller(context: GroupContext): EvidencePoller {
  const { belief, members, clock } = context;
  const waits = new Set<Wait>();
  let cancelNextPoll: CancelTimer | undefined;
  let isPolling = false;

  function schedule(): void {
    cancelNextPoll?.();
    if (isPolling || waits.size === 0) return;
    const dueAt = Math.min(...[...waits].map((wait) => wait.dueAt));
    cancelNextPoll = clock.after(dueAt - clock.now(), () => {
      void poll();
    });
  }

  async function poll(): Promise<void> {
    const polledWaits = [...waits];
    const member = chooseReplica(Math.max(...polledWaits.map((wait) => wait.pollCount)));
    isPolling = true;
    if (member) await askMember(context, member, { type: 'status' }, POLL_TIMEOUT_MILLISECONDS);
    isPolling = false;
    const dueAt = clock.now() + POLL_INTERVAL_MILLISECONDS;
    for (const wait of polledWaits) Object.assign(wait, { dueAt, pollCount: wait.pollCount + 1 });
    schedule();
  }

  /** Chooses replicas in turn by ascending latency, and reachable ones if there are any. */
  function chooseReplica(round: number): Member | undefined {
    const primary = belief.find();
    const replicas = [...members.values()]
      .filter((member) => member !== primary && member.missingSince === undefined)
      .sort(
        (left, right) => left.latency.current(clock.now()) - right.latency.current(clock.now()),
      );
    const reachable = replicas.filter(({ avoidUntil }) => avoidUntil <= clock.now());
    const candidates = reachable.length > 0 ? reachable : replicas;
    return candidates[round % Math.max(1, candidates.length)];
  }

  return {
    startPolling: (delay) => {
      const wait: Wait = { dueAt: clock.now() + delay, pollCount: 0 };
      waits.add(wait);
      schedule();
      return () => {
        waits.delete(wait);
        schedule();
      };
    },
    stop: () => cancelNextPoll?.(),
  };
}
