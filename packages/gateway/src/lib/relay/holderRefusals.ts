import {
  computeLatestReturn,
  createReturnSchedule,
  UNKNOWN_INTERVAL_MILLISECONDS,
} from '@wisterialift/core';
import type { ReturnSchedule } from '@wisterialift/core';
import type { RelayResponse } from '@wisterialift/peer/relay';
import { MAXIMUM_REFUSAL_MILLISECONDS } from '../groups/returnGuidance';
import { parseReturnTime } from '../groups/returnTime';
import type { StatementRequest } from '../groups/statementRequest';
import type { Clock } from '../ports/clock';
import type { PeerLink } from './peerLink';

/** A refusal on behalf of a holder. */
export interface HolderRefusal {
  /** Milliseconds since the holder's load was received. */
  loadAge: number;
  isTeamOnly: boolean;
  /** Milliseconds until the holder's queue is expected to have capacity. */
  expectedWait: number;
  returnMilliseconds: number;
}

/** What holders stated with their refusals, for as long as it is valid. */
export interface HolderRefusals {
  remember: (
    link: PeerLink,
    request: StatementRequest,
    sent: { access: 'read' | 'write'; response: RelayResponse },
  ) => void;
  /** Returns how to refuse a statement that the holder would refuse; undefined to send it. */
  find: (
    link: PeerLink,
    request: StatementRequest,
    access: 'read' | 'write',
  ) => HolderRefusal | undefined;
}

interface StatedRefusal {
  receivedAt: number;
  validUntil: number;
  isTeamOnly: boolean;
  returnAt: number;
}

/** Load information of one holder, dropped with its link. */
interface LinkRefusals {
  refusals: Map<string, StatedRefusal>;
  schedule: ReturnSchedule;
}

/** Number of entries from which expired ones are removed. */
const PRUNING_SIZE = 100;

/** Creates the memory of what the holders of one group stated. */
export function createHolderRefusals({
  clock,
  random,
}: {
  clock: Clock;
  /** Returns a uniform number in [0, 1). */
  random: () => number;
}): HolderRefusals {
  const links = new WeakMap<PeerLink, LinkRefusals>();

  function open(link: PeerLink): LinkRefusals {
    const known = links.get(link);
    if (known) return known;
    const opened = { refusals: new Map(), schedule: createReturnSchedule() };
    links.set(link, opened);
    return opened;
  }

  const remember: HolderRefusals['remember'] = (link, request, { access, response }) => {
    const { answer, load } = response;
    if (!answer || answer.isCompleted || !load || load.refusingMilliseconds === 0) return;
    const { refusals } = open(link);
    const now = clock.now();
    if (refusals.size >= PRUNING_SIZE) prune(refusals, now);
    const validFor = Math.min(MAXIMUM_REFUSAL_MILLISECONDS, load.refusingMilliseconds);
    refusals.set(toKey(request, access, load.isRefusingTeamOnly), {
      receivedAt: now,
      validUntil: now + validFor,
      isTeamOnly: load.isRefusingTeamOnly,
      returnAt: now + (parseReturnTime(answer.detail) ?? validFor),
    });
  };

  const find: HolderRefusals['find'] = (link, request, access) => {
    const known = links.get(link);
    if (!known) return undefined;
    const now = clock.now();
    const stated = [true, false]
      .map((isTeamOnly) => known.refusals.get(toKey(request, access, isTeamOnly)))
      .find((refusal) => refusal && now < refusal.validUntil);
    if (!stated) return undefined;
    const expectedWait = Math.max(0, stated.returnAt - now);
    const returnMilliseconds = known.schedule.reserve({
      now,
      expectedWait,
      interval: UNKNOWN_INTERVAL_MILLISECONDS,
      latest: computeLatestReturn({
        timeLimit: request.route.timeout,
        waited: now - request.arrivalStamp.at,
      }),
      jitter: random(),
    });
    const { receivedAt, isTeamOnly } = stated;
    return { loadAge: now - receivedAt, isTeamOnly, expectedWait, returnMilliseconds };
  };

  return { remember, find };
}

function prune(refusals: Map<string, StatedRefusal>, now: number): void {
  for (const [key, { validUntil }] of refusals) if (validUntil <= now) refusals.delete(key);
}

function toKey(
  { route, team }: StatementRequest,
  access: 'read' | 'write',
  isTeamOnly: boolean,
): string {
  const { database, priority } = route;
  return JSON.stringify([database, access, priority, isTeamOnly, isTeamOnly ? team : undefined]);
}
