import { createDrawnTexts, createRandom } from '@wisterialift/fuzz';
import type { Random } from '@wisterialift/fuzz';
import type { Clock } from '@wisterialift/gateway';
import type { Experiment, RequestKind } from '../experiment/experimentSchema';
import { createHost } from '../simulation/host';
import type { Host, Simulation } from '../simulation/host';
import type { Balancer } from './balancer';
import { connectCaller } from './callerConnection';
import type { CallerConnection } from './callerConnection';
import { drawOperation, runAttempt } from './operation';
import type { Operation } from './operation';
import type { Oracle } from './oracle';
import { drawSessionTexts, listPreparations } from './sessionTexts';
import type { WorldTeam, WorldTeams } from './teams';

/** One operation as its caller saw it. @internal */
export interface Outcome {
  kind: RequestKind;
  dataCentre: string;
  askedAt: number;
  /** Whether its team asked for no more than usual, and had its keys, so that it should be served. */
  isOwed: boolean;
  type: 'inGoal' | 'late' | 'refused' | 'failed';
  /** Attempts that were refused, whatever became of the operation. */
  refusedAttempts: number;
  /** Time until the answer without the caller's own pauses. */
  milliseconds: number;
}

/** Pause of a caller that was told no return time; doubled by each attempt. */
const RETRY_MILLISECONDS = { shortest: 80, longest: 240 };

/** Time for one statement that prepares a session. */
const PREPARE_MILLISECONDS = 2_000;

/** Seed of texts, which are apart from all else that an experiment draws. */
const TEXT_SEED = 1;

/** Open sessions that a data centre's callers keep for later, by kind and group. */
type IdleSessions = Map<string, CallerConnection[]>;

/** Sends the operations of an experiment; each ends with one outcome. @internal */
export function startLoad(options: {
  experiment: Experiment;
  simulation: Simulation;
  clock: Clock;
  balancer: Balancer;
  oracle: Oracle;
  groups: readonly string[];
  teams: WorldTeams;
  onOutcome: (outcome: Outcome) => void;
}): void {
  const { experiment, simulation, clock, balancer, oracle, groups, teams, onOutcome } = options;
  const { random } = simulation;
  const idle: IdleSessions = new Map();
  const drawnTexts = createDrawnTexts(createRandom(TEXT_SEED));
  let operations = 0;

  function scheduleNext(caller: Host, load: number): void {
    const perSecond = load * experiment.load.factor * teams.loadFactor();
    clock.runAfter(random.exponential(1_000 / perSecond), () => {
      if (clock.now() > experiment.seconds * 1_000) return;
      void runOperation(caller);
      scheduleNext(caller, load);
    });
  }

  async function runOperation(caller: Host): Promise<void> {
    operations += 1;
    const kind = pickKind(random, experiment.kinds);
    const operation = drawOperation(random, {
      id: `q${operations}`,
      kind,
      group: random.pick(groups),
      team: teams.draw(random),
    });
    const askedAt = clock.now();
    const isOwed = isUsual(operation.team);
    let pauses = 0;
    const onPause = (milliseconds: number) => {
      pauses += milliseconds;
    };
    let refusedAttempts = 0;
    const onRefused = () => {
      refusedAttempts += 1;
    };
    const type = await tryOperation({ operation, caller, askedAt, onPause, onRefused });
    const milliseconds = clock.now() - askedAt - pauses;
    const isLate = type === 'served' && milliseconds > kind.goal;
    const served = isLate ? 'late' : 'inGoal';
    onOutcome({
      kind,
      dataCentre: caller.dataCentre,
      askedAt,
      isOwed: isOwed && isUsual(operation.team),
      type: type === 'served' ? served : type,
      refusedAttempts,
      milliseconds,
    });
  }

  async function tryOperation(options_: {
    operation: Operation;
    caller: Host;
    askedAt: number;
    onPause: (milliseconds: number) => void;
    onRefused: () => void;
  }): Promise<'served' | 'refused' | 'failed'> {
    const { operation, caller, askedAt, onPause, onRefused } = options_;
    const { kind } = operation;
    const deadlineAt = askedAt + kind.deadline;
    let last: 'refused' | 'failed' = 'failed';
    let tried: CallerConnection['instance'] | undefined;
    let returnMilliseconds: number | undefined;
    for (let attempt = 0; attempt <= kind.retries; attempt += 1) {
      if (attempt > 0) await clock.sleep(returnMilliseconds ?? retryPause(attempt));
      returnMilliseconds = undefined;
      if (clock.now() >= deadlineAt) return last;
      const connection = await findSession(operation, caller, tried);
      if (!connection) {
        last = 'failed';
        continue;
      }
      tried = connection.instance;
      const end = await runAttempt({
        operation,
        attempt,
        connection,
        clock,
        random,
        oracle,
        deadlineAt,
        onPause,
      });
      keepOrClose(operation, caller, connection);
      if (end.type === 'served') return 'served';
      if (end.type === 'refused') {
        onRefused();
        if (experiment.load.followsReturnTime) ({ returnMilliseconds } = end);
      }
      last = end.type === 'refused' ? 'refused' : 'failed';
      if (end.type === 'unknown' && !end.mayRepeat) return last;
    }
    return last;
  }

  function retryPause(attempt: number): number {
    const { shortest, longest } = RETRY_MILLISECONDS;
    return random.between(shortest, longest) * 2 ** (attempt - 1);
  }

  const keyOf = ({ kind, group, team }: Operation, { name }: Host) =>
    `${name} ${kind.name} ${group} ${team?.name}`;

  async function findSession(
    operation: Operation,
    caller: Host,
    tried: CallerConnection['instance'] | undefined,
  ): Promise<CallerConnection | undefined> {
    const { kind, group } = operation;
    const kept = tried ? undefined : takeKept(keyOf(operation, caller));
    if (kept) return kept;
    const instance = balancer.choose(caller.dataCentre, tried);
    const database = `${kind.name}@${group}`;
    const keyDigest = operation.team?.keyDigest;
    const texts = experiment.load.drawsTexts ? drawSessionTexts(drawnTexts) : undefined;
    const session = { simulation, clock, caller, instance, database, keyDigest, texts };
    const connection = await connectCaller(session);
    return connection && prepareSession(connection);
  }

  /** @returns undefined if the session ended before it was prepared. */
  async function prepareSession(
    connection: CallerConnection,
  ): Promise<CallerConnection | undefined> {
    const { texts } = connection;
    for (const statement of texts ? listPreparations(texts) : []) {
      const answer = await connection.run(statement, clock.now() + PREPARE_MILLISECONDS);
      if (answer?.outcome !== 'completed') {
        connection.close();
        return undefined;
      }
    }
    return connection;
  }

  function takeKept(key: string): CallerConnection | undefined {
    const sessions = idle.get(key) ?? [];
    while (sessions.length > 0) {
      const [session] = sessions.splice(random.between(0, sessions.length - 1), 1);
      if (session?.isOpen()) return session;
    }
    return undefined;
  }

  function keepOrClose(operation: Operation, caller: Host, connection: CallerConnection): void {
    if (!operation.kind.keepsSession) {
      connection.close();
      return;
    }
    const key = keyOf(operation, caller);
    const sessions = idle.get(key) ?? [];
    if (connection.isOpen()) idle.set(key, [...sessions, connection]);
  }

  for (const { name, load } of experiment.deployment.dataCentres) {
    scheduleNext(createHost(`callers-${name}`, name), load);
  }
}

/** Whether a team may expect to be served whatever it asks for at present. */
function isUsual(team: WorldTeam | undefined): boolean {
  return !team || (team.weight <= team.usualWeight && !team.isRevoked && !team.isLimitLowered);
}

function pickKind(random: Random, kinds: readonly RequestKind[]): RequestKind {
  const total = kinds.reduce((sum, { share }) => sum + share, 0);
  let left = random.next() * total;
  for (const kind of kinds) {
    left -= kind.share;
    if (left < 0) return kind;
  }
  return kinds.at(-1)!;
}
