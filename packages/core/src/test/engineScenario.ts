import type {
  ConfigurationObject,
  Database,
  ReportedMemberStatus,
  RequestOutcome,
  Position,
  TermStart,
  UpstreamGroup,
  Voters,
} from '@wisterialift/schema';
import { comparePositions } from '@wisterialift/schema';
import { DEFAULT_ENGINE_POLICY, createGroupEngine, preparePatch } from '../index';
import type {
  EngineEffect,
  EngineEvent,
  EnginePolicy,
  EngineRecord,
  EngineRequest,
  GroupEngine,
  StatementResult,
} from '../index';

interface Entry {
  term: number;
  /** Request that wrote it; empty for the first entry of a term. */
  requestId: string;
  appendedAt: number;
  /** Incarnations of the voters that the entry names. */
  voters?: Record<string, string>;
}

/** A simulated database with a log, a term and injected faults. */
export interface FakeMember {
  name: string;
  role: 'primary' | 'replica';
  currentTerm: number;
  log: Entry[];
  following: string | undefined;
  lastFollowedTerm: number;
  state: 'up' | 'frozen' | 'down';
  /** Disables replication from and to the member; instances can still connect. */
  isIsolatedFromGroup: boolean;
  lagMilliseconds: number;
  /** Number of statements whose connection breaks after they have run. */
  lostResponsesLeft: number;
  /** Requests received while frozen, processed when the member resumes. */
  pendingDeliveries: (() => void)[];
  /** Writes received, including refused ones. */
  receivedWriteIds: string[];
}

/** Tracks a request sent by a test. */
export interface RequestHandle {
  requestId: string;
  outcome: RequestOutcome | undefined;
  /** Members to which attempts were sent. */
  sentTo: string[];
  /** Requests whose log entries were visible to the last attempt. */
  visibleRequestIds: string[];
}

interface FakeInstance {
  name: string;
  engine: GroupEngine;
  timerAt: number;
  isPaused: boolean;
  /** Time that its clock has stood still. */
  clockLag: number;
  /** By how much its time of day was stepped. */
  wallStep: number;
  pendingEvents: EngineEvent[];
  records: EngineRecord[];
  /** Members whose control requests from this instance are dropped without a response. */
  droppedMembers: Set<string>;
  /** Members that do not receive its fence commands. */
  lostFences: Set<string>;
  /** Members that do not receive its follow commands. */
  lostFollows: Set<string>;
}

interface Delivery {
  at: number;
  deliver: () => void;
}

export interface ScenarioOptions {
  instances?: string[];
  seed?: number;
  /** Probability of losing a control request or a response. */
  lossRate?: number;
  /** Member with a slow link. */
  slowMember?: string;
  policy?: Partial<EnginePolicy>;
  databases?: Partial<Record<string, Partial<Database>>>;
  /** Empty databases that do not belong to the group yet; `changeMembers` adds them. */
  spareMembers?: string[];
}

export type Scenario = ReturnType<typeof createScenario>;

const MEMBER_NAMES = ['a1', 'b1', 'c1'];
const FIRST_ENTRY: Entry = {
  term: 1,
  requestId: '',
  appendedAt: 0,
  voters: Object.fromEntries(MEMBER_NAMES.map((name) => [name, `${name}-1`])),
};
const GROUP = 'archivio-1';
/** Request id prefix of writes that change no rows and write no log entry. */
export const NO_ENTRY_PREFIX = 'no-entry';
const LINK_MILLISECONDS = 2;
const SLOW_LINK_MILLISECONDS = 120;
const REPLICATION_MILLISECONDS = 2;

/**
 * Runs engines against three simulated databases in deterministic 1 ms steps.
 *
 * `a1` is primary of term 1; each member has its own data centre; all instances share that of `b1`.
 */
export function createScenario(options: ScenarioOptions = {}) {
  const random = createRandom(options.seed ?? 1);
  const members = new Map(MEMBER_NAMES.map((name) => [name, createMember(name)]));
  options.spareMembers?.forEach((name) => members.set(name, createEmptyMember(name)));
  const incarnations = new Map(
    [...members].map(([name, { log }]) => [name, { number: 1, entries: log.length }]),
  );
  const deliveries: Delivery[] = [];
  const requestHandles = new Map<string, RequestHandle & { access: EngineRequest['access'] }>();
  let now = 0;
  let requestCount = 0;
  let statusRequestCount = 0;
  let databases: Database[] = MEMBER_NAMES.map((name) => ({
    ...createDatabase(name),
    ...options.databases?.[name],
  }));
  let configurationObject: ConfigurationObject = {
    number: 0,
    configuration: {
      groups: { [GROUP]: { databases, user: 'proxy', password: '' } },
      callers: {},
      kinds: {},
      serviceLevels: [],
    },
    patches: [],
  };
  const instances = new Map(
    (options.instances ?? ['p1']).map((name) => [name, createInstance(name)]),
  );

  function createInstance(name: string): FakeInstance {
    const engine = createGroupEngine({
      group: GROUP,
      instance: name,
      dataCentre: 'dc-b1',
      databases,
      memberSet: configurationObject.configuration.groups[GROUP]?.memberSet,
      policy: { ...DEFAULT_ENGINE_POLICY, ...options.policy },
      random,
    });
    const unreachable = new Set<string>();
    const lostFences = new Set<string>();
    const lostFollows = new Set<string>();
    const state = {
      timerAt: Infinity,
      isPaused: false,
      clockLag: 0,
      wallStep: 0,
      pendingEvents: [],
      records: [],
    };
    return { name, engine, droppedMembers: unreachable, lostFences, lostFollows, ...state };
  }

  function member(name: string): FakeMember {
    return members.get(name) as FakeMember;
  }

  function instance(name = 'p1'): FakeInstance {
    return instances.get(name) as FakeInstance;
  }

  function schedule(milliseconds: number, deliver: () => void): void {
    deliveries.push({ at: now + milliseconds, deliver });
  }

  function deliverTo(name: string, receive: (recipient: FakeMember) => void): void {
    const delay = computeLinkDelay() + (name === options.slowMember ? SLOW_LINK_MILLISECONDS : 0);
    schedule(delay, () => {
      const recipient = member(name);
      if (recipient.state === 'frozen') recipient.pendingDeliveries.push(() => receive(recipient));
      else receive(recipient);
    });
  }

  function unfreeze(name: string): void {
    const resumed = member(name);
    resumed.state = 'up';
    resumed.pendingDeliveries.splice(0).forEach((deliver) => deliver());
  }

  function computeLinkDelay(): number {
    return LINK_MILLISECONDS * (0.5 + random());
  }

  function isLost(): boolean {
    return random() < (options.lossRate ?? 0);
  }

  function readClock({ clockLag }: FakeInstance): number {
    return now - clockLag;
  }

  function handle(target: FakeInstance, event: EngineEvent): void {
    if (target.isPaused) {
      target.pendingEvents.push(event);
      return;
    }
    const readings = { monotonic: readClock(target), wall: now + target.wallStep };
    target.engine.handle(event, readings).forEach((effect) => applyEffect(target, effect));
  }

  type EffectHandlers = {
    [Type in EngineEffect['type']]: (
      target: FakeInstance,
      effect: Extract<EngineEffect, { type: Type }>,
    ) => void;
  };

  const effectHandlers: EffectHandlers = {
    runStatement: (target, effect) => runStatement(target, effect),
    abandonStatement: (target, { requestId, attempt, reportsLoss }) => {
      const result: StatementResult = { kind: 'lost', answerStarted: false };
      if (reportsLoss) schedule(0, () => finish(target, requestId, attempt, result));
    },
    answerRequest: (_target, { requestId, outcome }) => {
      Object.assign(requestHandles.get(requestId) as RequestHandle, { outcome });
    },
    askStatus: (target, effect) => {
      statusRequestCount += 1;
      sendControlRequest(target, effect, () => true);
    },
    fence: (target, effect) => {
      if (target.lostFences.has(effect.member)) return;
      sendControlRequest(target, effect, (database) => {
        if (effect.term <= database.currentTerm) return false;
        Object.assign(database, {
          currentTerm: effect.term,
          role: 'replica',
          following: undefined,
        });
        return true;
      });
    },
    promote: (target, effect) =>
      sendControlRequest(target, effect, (database) => promote(database, effect.term)),
    follow: (target, effect) => {
      if (target.lostFollows.has(effect.member)) return;
      sendControlRequest(target, effect, (database) => {
        const isOwnTerm = database.role === 'primary' && database.currentTerm === effect.term;
        if (effect.term < database.currentTerm || isOwnTerm) return false;
        Object.assign(database, {
          currentTerm: effect.term,
          role: 'replica',
          following: effect.primary,
          lastFollowedTerm: effect.term,
        });
        return true;
      });
    },
    nameVoters: (target, effect) =>
      sendControlRequest(target, effect, (database) => {
        const { term, after, incarnations: voters } = effect;
        const isNewest = comparePositions(findVoters(database.log).position, after) === 0;
        const isAccepted = database.role === 'primary' && database.currentTerm === term && isNewest;
        if (isAccepted) database.log.push({ term, requestId: '', appendedAt: now, voters });
        return isAccepted;
      }),
    publishPrimary: () => {},
    setTimer: (target, { at }) => {
      Object.assign(target, { timerAt: at });
    },
    record: (target, { record }) => {
      target.records.push(record);
    },
  };

  function applyEffect(target: FakeInstance, effect: EngineEffect): void {
    const handleEffect = effectHandlers[effect.type] as (
      target: FakeInstance,
      effect: EngineEffect,
    ) => void;
    handleEffect(target, effect);
  }

  function promote(database: FakeMember, term: number): boolean {
    if (database.currentTerm !== term) return false;
    if (database.role === 'primary') return true;
    // A member that followed a primary of this term must not become a second one.
    if (database.lastFollowedTerm === term) return false;
    database.log.push({ term, requestId: '', appendedAt: now });
    Object.assign(database, { role: 'primary', following: undefined });
    return true;
  }

  function sendControlRequest(
    target: FakeInstance,
    { questionId, member: name }: { questionId: number; member: string },
    apply: (database: FakeMember) => boolean,
  ): void {
    if (isLost() || target.droppedMembers.has(name)) return;
    deliverTo(name, (database) => {
      if (database.state === 'down') {
        schedule(computeLinkDelay(), () =>
          handle(target, { type: 'questionFailed', questionId, reason: 'unreachable' }),
        );
        return;
      }
      const isAccepted = apply(database);
      const status = { ...createStatus(database), incarnation: nameIncarnation(database) };
      if (isLost()) return;
      schedule(computeLinkDelay(), () => {
        if (isAccepted) handle(target, { type: 'statusAnswered', questionId, status });
        else handle(target, { type: 'questionFailed', questionId, reason: 'refused' });
      });
    });
  }

  function runStatement(
    target: FakeInstance,
    effect: Extract<EngineEffect, { type: 'runStatement' }>,
  ): void {
    const { requestId, attempt, member: name } = effect;
    requestHandles.get(requestId)?.sentTo.push(name);
    deliverTo(name, (database) => {
      const result = execute(database, requestId, effect.incarnation);
      schedule(computeLinkDelay(), () => finish(target, requestId, attempt, result));
    });
  }

  function finish(
    target: FakeInstance,
    requestId: string,
    attempt: number,
    result: StatementResult,
  ): void {
    handle(target, { type: 'statementFinished', requestId, attempt, result });
  }

  function execute(database: FakeMember, requestId: string, incarnation: string): StatementResult {
    const request = requestHandles.get(requestId) as RequestHandle & {
      access: EngineRequest['access'];
    };
    if (database.state === 'down') return { kind: 'refused', reason: 'connectFailed' };
    if (incarnation !== nameIncarnation(database)) {
      return { kind: 'refused', reason: 'otherIncarnation' };
    }
    request.visibleRequestIds = database.log.map((entry) => entry.requestId);
    const isWrite = request.access === 'write' || request.access === 'commit';
    if (isWrite) {
      database.receivedWriteIds.push(requestId);
      if (database.role !== 'primary') return { kind: 'refused', reason: 'notPrimary' };
      if (requestId.startsWith(NO_ENTRY_PREFIX)) return { kind: 'completed' };
      database.log.push({ term: database.currentTerm, requestId, appendedAt: now });
    }
    if (database.lostResponsesLeft > 0) {
      Object.assign(database, { lostResponsesLeft: database.lostResponsesLeft - 1 });
      return { kind: 'lost', answerStarted: false };
    }
    return isWrite
      ? { kind: 'completed', position: getLogEnd(database.log) }
      : { kind: 'completed' };
  }

  function replicate(replica: FakeMember): void {
    const primary = members.get(replica.following ?? '');
    if (!primary || primary.role !== 'primary') return;
    if (primary.currentTerm !== replica.currentTerm) return;
    if (
      [primary, replica].some(
        ({ state, isIsolatedFromGroup }) => state !== 'up' || isIsolatedFromGroup,
      )
    ) {
      return;
    }
    const isPrefix = replica.log.at(-1) === primary.log[replica.log.length - 1];
    const firstDifference = isPrefix
      ? -1
      : replica.log.findIndex((entry, index) => entry !== primary.log[index]);
    if (firstDifference >= 0) replica.log.splice(firstDifference);
    let next = primary.log[replica.log.length];
    while (next && next.appendedAt + replica.lagMilliseconds <= now) {
      replica.log.push(next);
      next = primary.log[replica.log.length];
    }
  }

  /** A database whose log a test has shortened comes back as another incarnation. */
  function renewIncarnations(): void {
    incarnations.forEach((incarnation, name) => {
      if (member(name).log.length >= incarnation.entries) return;
      Object.assign(incarnation, { number: incarnation.number + 1 });
    });
  }

  function nameIncarnation({ name }: FakeMember): string {
    return `${name}-${incarnations.get(name)?.number}`;
  }

  function tick(): void {
    now += 1;
    renewIncarnations();
    members.forEach(replicate);
    let due = takeDue();
    while (due) {
      due.deliver();
      due = takeDue();
    }
    instances.forEach((target) => {
      if (target.isPaused || target.timerAt > readClock(target)) return;
      Object.assign(target, { timerAt: Infinity });
      handle(target, { type: 'timerFired' });
    });
    incarnations.forEach((incarnation, name) => {
      Object.assign(incarnation, { entries: member(name).log.length });
    });
  }

  function takeDue(): Delivery | undefined {
    const index = deliveries.findIndex(({ at }) => at <= now);
    return index < 0 ? undefined : deliveries.splice(index, 1)[0];
  }

  function run(milliseconds: number): void {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 1) tick();
  }

  /** Runs until the condition holds and returns the elapsed milliseconds. */
  function runUntil(condition: () => boolean, limitMilliseconds = 20_000): number {
    const startedAt = now;
    while (!condition()) {
      if (now - startedAt > limitMilliseconds) throw new Error('condition not met in time');
      tick();
    }
    return now - startedAt;
  }

  function send(
    draft: Partial<EngineRequest> & { access: EngineRequest['access'] },
    instanceName = 'p1',
  ) {
    requestCount += 1;
    const requestId = draft.requestId ?? `${draft.access}-${requestCount}`;
    const sentAt = readClock(instance(instanceName));
    const request: EngineRequest = {
      requestId,
      caller: 'consorzio',
      weight: 1,
      kind: 'default',
      maximumStalenessMilliseconds: 0,
      arrivedAt: sentAt,
      deadlineAt: sentAt + 5_000,
      priority: 5,
      isRepeatable: true,
      ...draft,
    };
    const created = {
      requestId,
      outcome: undefined,
      sentTo: [],
      visibleRequestIds: [],
      access: draft.access,
    };
    requestHandles.set(requestId, created);
    handle(instance(instanceName), { type: 'requestArrived', request });
    return created as RequestHandle;
  }

  function pause(name = 'p1'): void {
    instance(name).isPaused = true;
  }

  /** Resumes a paused instance; status responses that arrived meanwhile are lost. */
  function resume(name = 'p1'): void {
    const target = instance(name);
    target.isPaused = false;
    target.pendingEvents
      .splice(0)
      .filter(({ type }) => type !== 'statusAnswered')
      .forEach((event) => handle(target, event));
  }

  /** Suspends an instance's machine, on which the monotonic clock stands still meanwhile. */
  function suspend(milliseconds: number, name = 'p1'): void {
    pause(name);
    run(milliseconds);
    instance(name).clockLag += milliseconds;
    resume(name);
  }

  /** Starts an instance anew, without what it knew and without its open requests. */
  function restart(name: string): void {
    pause(name);
    instances.set(name, createInstance(name));
    handle(instance(name), { type: 'instancesChanged', liveInstances: [...instances.keys()] });
  }

  /** Simulates a promotion by an instance outside the scenario, unnoticed by the old primary. */
  function simulateExternalPromotion(name: string, term: number, group = ['b1', 'c1']): void {
    group.forEach((each) => {
      Object.assign(member(each), { currentTerm: term, following: name, role: 'replica' });
    });
    promote(member(name), term);
  }

  function findRecords(name: EngineRecord['name'], instanceName?: string): EngineRecord[] {
    const targets = instanceName ? [instance(instanceName)] : [...instances.values()];
    return targets.flatMap(({ records }) => records.filter((record) => record.name === name));
  }

  function changeDatabases(change: (databases: Database[]) => Database[]): void {
    databases = change(databases);
    instances.forEach((target) => handle(target, { type: 'groupChanged', databases }));
  }

  function changeDatabase(name: string, change: Partial<Database>): void {
    changeDatabases((all) =>
      all.map((each) => (each.name === name ? { ...each, ...change } : each)),
    );
  }

  /**
   * Submits a change of members at an instance and, if it is accepted, puts it in force at the listed
   * instances.
   *
   * @returns whether the change was accepted.
   */
  function changeMembers(names: string[], { inForceAt = [...instances.keys()] } = {}) {
    const changed = names.map(
      (name) => databases.find((known) => known.name === name) ?? createDatabase(name),
    );
    const prepared = preparePatch({
      current: configurationObject,
      patch: {
        patchId: `patch-${configurationObject.number}`,
        againstNumber: configurationObject.number,
        author: 'operator',
        changes: { groups: { [GROUP]: { databases: changed } } },
      },
      acceptedAt: '2026-01-01',
      establishedMemberSets: collectEstablishedMemberSets(),
    });
    if (prepared.status !== 'ready') return false;
    configurationObject = prepared.configurationObject;
    databases = changed;
    inForceAt.forEach(putInForce);
    return true;
  }

  /** Makes an instance adopt the newest list of members. */
  function putInForce(name: string): void {
    const { memberSet } = configurationObject.configuration.groups[GROUP] as UpstreamGroup;
    handle(instance(name), { type: 'groupChanged', databases, memberSet });
  }

  function collectEstablishedMemberSets(): Record<string, number> {
    const numbers = [...instances.values()].flatMap(
      ({ engine }) => engine.view(now).establishedMemberSet ?? [],
    );
    return numbers.length > 0 ? { [GROUP]: Math.max(...numbers) } : {};
  }

  instances.forEach((target) => {
    handle(target, { type: 'instancesChanged', liveInstances: [...instances.keys()] });
  });
  run(50);

  return {
    member,
    instance,
    handle: (event: EngineEvent, instanceName?: string) => handle(instance(instanceName), event),
    run,
    runUntil,
    pause,
    suspend,
    restart,
    unfreeze,
    simulateExternalPromotion,
    resume,
    findRecords,
    changeDatabase,
    changeDatabases,
    changeMembers,
    putInForce,
    write: (draft: Partial<EngineRequest> = {}, instanceName?: string) =>
      send({ access: 'write', ...draft }, instanceName),
    read: (draft: Partial<EngineRequest> = {}, instanceName?: string) =>
      send({ access: 'read', ...draft }, instanceName),
    send,
    /** The voters that the log of a database names. */
    findVoters: (name: string) => findVoters(member(name).log),
    findPrimaries: () => [...members.values()].filter(({ role }) => role === 'primary'),
    /** Number of status requests sent by all instances. */
    statusRequestCount: () => statusRequestCount,
    now: () => now,
  };
}

function createMember(name: string): FakeMember {
  return {
    name,
    role: name === 'a1' ? 'primary' : 'replica',
    currentTerm: 1,
    log: [FIRST_ENTRY],
    following: name === 'a1' ? undefined : 'a1',
    lastFollowedTerm: name === 'a1' ? 0 : 1,
    state: 'up',
    isIsolatedFromGroup: false,
    lagMilliseconds: REPLICATION_MILLISECONDS,
    lostResponsesLeft: 0,
    pendingDeliveries: [],
    receivedWriteIds: [],
  };
}

/** A database without log and term. */
export function createEmptyMember(name: string): FakeMember {
  const empty = { role: 'replica', currentTerm: 0, log: [], following: undefined } as const;
  return { ...createMember(name), ...empty, log: [], lastFollowedTerm: 0 };
}

export function createDatabase(name: string): Database {
  const address = { host: '127.0.0.1', port: 3306, dataCentre: `dc-${name}` };
  return { name, ...address, connectionLimit: 30, slots: 5, leaving: false };
}

function createStatus(database: FakeMember): ReportedMemberStatus {
  const { name, role, currentTerm, log, following } = database;
  const end = getLogEnd(log);
  const termStarts = log.reduce<TermStart[]>(
    (starts, { term }, index) =>
      starts.at(-1)?.term === term ? starts : [...starts, { term, start: index }],
    [],
  );
  const voters = findVoters(log);
  const status = { member: name, role, currentTerm, logEnd: end, applied: end, termStarts, voters };
  return following ? { ...status, following } : status;
}

function findVoters(log: Entry[]): Voters {
  const index = log.findLastIndex(({ voters }) => voters) + 1;
  const { term = 0, voters = {} } = log[index - 1] ?? {};
  return { position: { term, index }, incarnations: voters };
}

function getLogEnd(log: Entry[]): Position {
  return { term: log.at(-1)?.term ?? 0, index: log.length };
}

/** Mulberry32 generator, for reproducible runs. */
export function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = Math.trunc(state + 0x6d2b79f5);
    // eslint-disable-next-line no-bitwise -- required by the generator
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    // eslint-disable-next-line no-bitwise -- required by the generator
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    // eslint-disable-next-line no-bitwise -- required by the generator
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}
