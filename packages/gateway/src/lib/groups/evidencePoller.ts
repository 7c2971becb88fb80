import type { EvidencePollPlan } from '@wisterialift/core';
import type { CancelTimer } from '../ports/clock';
import { sendMemberCommand } from './sendMemberCommand';
import type { GroupContext } from './groupContext';
import type { Member } from './member';

/**
 * Polls replicas when regular answers have not shown that the primary is current or a commit is
 * replicated.
 */
export interface EvidencePoller {
  /**
   * Polls repeatedly until stopped.
   *
   * @returns a function that stops the polling.
   */
  startPolling: (plan: EvidencePollPlan) => () => void;
  stop: () => void;
}

/** Time limit of a poll, after which another replica is polled. */
const TIMEOUT_MILLISECONDS = 400;

interface PollRequest {
  plan: EvidencePollPlan;
  dueAt: number;
  round: number;
}

/** Creates a poller in which one poll serves all waiting statements. */
export function createEvidencePoller(context: GroupContext): EvidencePoller {
  const { primaryTracker, members, clock } = context;
  const pollRequests = new Set<PollRequest>();
  let cancelNextPoll: CancelTimer | undefined;
  let isPolling = false;

  function schedule(): void {
    cancelNextPoll?.();
    if (isPolling || pollRequests.size === 0) return;
    const dueAt = Math.min(...[...pollRequests].map((request) => request.dueAt));
    cancelNextPoll = clock.runAfter(dueAt - clock.now(), () => {
      void poll();
    });
  }

  async function poll(): Promise<void> {
    const polled = [...pollRequests];
    const member = chooseReplica(Math.max(...polled.map((request) => request.round)));
    isPolling = true;
    if (member) await sendMemberCommand(context, member, { type: 'status' }, TIMEOUT_MILLISECONDS);
    isPolling = false;
    for (const request of polled) {
      request.round += 1;
      request.dueAt = clock.now() + request.plan.getInterval(request.round);
    }
    schedule();
  }

  /** Cycles through the replicas by ascending latency, skipping those in backoff unless all are. */
  function chooseReplica(round: number): Member | undefined {
    const primary = primaryTracker.find();
    const replicas = [...members.values()]
      .filter((member) => member !== primary && member.missingSince === undefined)
      .sort(
        (left, right) =>
          left.latency.getCurrent(clock.now()) - right.latency.getCurrent(clock.now()),
      );
    const notInBackoff = replicas.filter(({ avoidUntil }) => avoidUntil <= clock.now());
    const candidates = notInBackoff.length > 0 ? notInBackoff : replicas;
    return candidates[round % Math.max(1, candidates.length)];
  }

  return {
    startPolling: (plan) => {
      const request: PollRequest = { plan, dueAt: clock.now() + plan.firstDelay, round: 0 };
      pollRequests.add(request);
      schedule();
      return () => {
        pollRequests.delete(request);
        schedule();
      };
    },
    stop: () => cancelNextPoll?.(),
  };
}
