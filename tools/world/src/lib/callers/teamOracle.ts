import type { Scheduler } from '@wisterialift/fuzz';
import type { BrokenPromise } from './oracle';
import type { WorldTeam } from './teams';

/** Holds what databases run against the teams' keys and limits. @internal */
export interface TeamOracle {
  /** A caller of a team begins an attempt at an operation. */
  noteAttempt: (attemptId: string, team: WorldTeam | undefined) => void;
  /** A database is about to run a statement on a connection opened for `client`. */
  checkStatement: (options: {
    statementId: string;
    client: string | undefined;
    /** Whether it is outside a transaction or the first of one. */
    isFirst: boolean;
  }) => void;
  noteRevoked: (team: WorldTeam) => void;
  /** The limit of a team binds at its lower value from some time on. */
  noteLimitLowered: (team: WorldTeam) => void;
  /** Looks for windows in which a team ran more than its limit allows. */
  checkWindows: () => void;
}

/** Time after which a change of the configuration is in force at every instance. */
const IN_FORCE_MILLISECONDS = 5_000;

const WINDOW_MILLISECONDS = 5_000;
const EXCESS = 0.1;
const SLACK = 20;

interface Attempt {
  team: WorldTeam | undefined;
  sentAt: number;
}

interface Limit {
  rate: number;
  burst: number;
  /** Windows that begin after this time are held to it. */
  from: number;
}

/** @internal */
export function createTeamOracle(options: {
  scheduler: Scheduler;
  teams: readonly WorldTeam[];
  report: (promise: BrokenPromise['promise'], detail: string) => void;
}): TeamOracle {
  const { scheduler, teams, report } = options;
  const attempts = new Map<string, Attempt>();
  const runs = new Map<string, { sentAt: number; at: number }[]>();
  const revokedAt = new Map<string, number>();
  const limits = new Map<string, Limit[]>(
    teams.map(({ name, rate, burst }) => [name, [{ rate, burst, from: -Infinity }]]),
  );

  /** `q7.1.3` is the third statement of the second attempt at `q7`. */
  const findAttempt = (statementId: string) =>
    attempts.get(statementId.split('.').slice(0, 2).join('.'));

  const checkStatement: TeamOracle['checkStatement'] = ({ statementId, client, isFirst }) => {
    const attempt = findAttempt(statementId);
    if (!attempt?.team) return;
    const { team, sentAt } = attempt;
    const { name } = team;
    if (client !== name) report('wrongTeam', `${statementId} of ${name} ran for ${client}`);
    const bound = (revokedAt.get(name) ?? Infinity) + IN_FORCE_MILLISECONDS;
    if (sentAt > bound) report('revokedKey', `${statementId} of ${name} ran without a key`);
    if (isFirst) runs.set(name, [...(runs.get(name) ?? []), { sentAt, at: scheduler.now() }]);
  };

  function checkWindows(): void {
    for (const [name, list] of runs) {
      for (const limit of limits.get(name) ?? []) checkLimit(name, list, limit);
    }
  }

  /** Counts the operations that were both sent and run within each window. */
  function checkLimit(
    name: string,
    list: readonly { sentAt: number; at: number }[],
    { rate, burst, from }: Limit,
  ): void {
    const allowed = ((rate * WINDOW_MILLISECONDS) / 1_000 + burst) * (1 + EXCESS) + SLACK;
    const starts = list.map(({ sentAt }) => sentAt).filter((sentAt) => sentAt >= from);
    for (const start of starts) {
      const inWindow = list.filter(
        ({ sentAt, at }) => sentAt >= start && at <= start + WINDOW_MILLISECONDS,
      );
      if (inWindow.length > allowed) {
        report('overLimit', `${name} ran ${inWindow.length} of ${allowed} from ${start}`);
        return;
      }
    }
  }

  return {
    noteAttempt: (attemptId, team) => attempts.set(attemptId, { team, sentAt: scheduler.now() }),
    checkStatement,
    noteRevoked: ({ name }) => revokedAt.set(name, scheduler.now()),
    noteLimitLowered: ({ name, rate, burst }) => {
      const from = scheduler.now() + IN_FORCE_MILLISECONDS + WINDOW_MILLISECONDS;
      limits.get(name)!.push({ rate, burst, from });
    },
    checkWindows,
  };
}
