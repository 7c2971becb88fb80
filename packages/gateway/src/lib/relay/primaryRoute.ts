import type { RelayResponse } from '@wisterialift/peer/relay';
import type { Logger } from '@wisterialift/telemetry';
import type { GroupRouter } from '../groups/groupRouter';
import { needsPrimary } from '../groups/reachMonitor';
import type { StatementNeeds } from '../groups/reachMonitor';
import type { Clock } from '../ports/clock';
import type { HolderSelector } from './holderSelector';
import type { PeerLink } from './peerLink';

/**
 * Sends statements that only the primary can run to the holder in the primary's data centre. Needed
 * where many teams use one primary: spread over all holders, each team needs a connection at each.
 */
export interface PrimaryRoute {
  /** @returns undefined if the statement takes the usual path. */
  selectLink: (needs: StatementNeeds) => PeerLink | undefined;
  /** Leaves out a holder that does not reach the members for a moment. */
  avoid: (link: PeerLink) => void;
  /** Takes over what the answer of a holder that ran a statement says about the group. */
  learn: (load: RelayResponse['load']) => void;
}

export interface PrimaryRouteOptions {
  group: string;
  /** Data centre of this instance. */
  dataCentre: string;
  local: Pick<GroupRouter, 'findPrimaryDataCentre' | 'counters'>;
  holders: Pick<HolderSelector, 'isHolder' | 'selectLinkIn'>;
  clock: Clock;
  logger: Logger;
}

/** Longer than most promotions take; limits how long an outdated answer is used. */
const VALIDITY_MILLISECONDS = 5_000;

/** Time for which a holder that does not reach the members is left out; a partition lasts seconds. */
const AVOIDANCE_MILLISECONDS = 1_000;

export function createPrimaryRoute(options: PrimaryRouteOptions): PrimaryRoute {
  const { group, dataCentre, local, holders, clock, logger } = options;
  let learned: { dataCentre: string; at: number } | undefined;
  let loggedPath: string | undefined;
  let avoided: { link: PeerLink; until: number } | undefined;

  const isAvoided = (link: PeerLink) => avoided?.link === link && clock.now() < avoided.until;

  /** If an answer names this data centre, a holder uses its own view, which is newer. */
  function findPrimaryDataCentre(): string | undefined {
    const isValid = learned && clock.now() - learned.at <= VALIDITY_MILLISECONDS;
    const answered = isValid ? learned?.dataCentre : undefined;
    const isAnswerDecisive = answered !== undefined && answered !== dataCentre;
    return isAnswerDecisive || !holders.isHolder(group) ? answered : local.findPrimaryDataCentre();
  }

  function logPath(path: string, target: string | undefined): void {
    if (path === loggedPath) return;
    const former = loggedPath;
    loggedPath = path;
    logger.info('primaryPathChanged', { group, path, former, primaryDataCentre: target });
  }

  return {
    selectLink: (needs) => {
      if (!needsPrimary(needs)) return undefined;
      const target = findPrimaryDataCentre();
      const isElsewhere = target !== undefined && target !== dataCentre;
      const selected = isElsewhere ? holders.selectLinkIn(group, target) : undefined;
      const link = selected && !isAvoided(selected) ? selected : undefined;
      local.counters[link ? 'sentToPrimaryHolder' : 'sentToNearHolder'] += 1;
      logPath(link ? `holder in ${target}` : 'near holder', target);
      return link;
    },
    avoid: (link) => {
      avoided = { link, until: clock.now() + AVOIDANCE_MILLISECONDS };
    },
    learn: (load) => {
      if (!load?.primaryDataCentre) return;
      learned = { dataCentre: load.primaryDataCentre, at: clock.now() };
    },
  };
}
