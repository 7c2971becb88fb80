import { setTimeout as pause } from 'node:timers/promises';
import { NO_FAULTS } from '@wisterialift/stand-in-line-platform';
import type { MemberFaults } from '@wisterialift/stand-in-line-platform';
import type { FaultLink, LinkMode } from '../world/faultLink';
import type { SoakDatabase } from '../world/soakDatabase';
import type { SoakInstance } from '../world/soakInstance';
import type { World } from '../world/startWorld';
import type { FaultStrike } from './faultStrike';
import { ODD_VALUES, listOddEntries } from './oddEntries';

type FaultHandler = (world: World, fault: FaultStrike) => Promise<void>;

const choose = <Item>(items: readonly Item[], { target }: FaultStrike): Item =>
  items[target % items.length]!;

const overInstance =
  (strike: (instance: SoakInstance, fault: FaultStrike, world: World) => Promise<void>) =>
  (world: World, fault: FaultStrike): Promise<void> =>
    strike(choose(world.instances, fault), fault, world);

const overDatabase =
  (strike: (database: SoakDatabase, fault: FaultStrike, world: World) => Promise<void>) =>
  (world: World, fault: FaultStrike): Promise<void> =>
    strike(choose(world.databases, fault), fault, world);

async function setFor(link: FaultLink, mode: LinkMode, { duration }: FaultStrike): Promise<void> {
  link.setMode(mode);
  await pause(duration);
  link.setMode('pass');
}

const memberLink = (mode: LinkMode): FaultHandler =>
  overDatabase(({ link }, fault) => setFor(link, mode, fault));

const storeLink = (mode: LinkMode): FaultHandler =>
  overInstance(({ store }, fault) => setFor(store, mode, fault));

/** Ends with the neutral values and not with those before, since faults of a kind may overlap. */
const memberFault = (faults: Partial<MemberFaults>): FaultHandler =>
  overDatabase(async ({ member }, { duration }) => {
    Object.assign(member.faults, faults);
    await pause(duration);
    for (const name of Object.keys(faults) as (keyof MemberFaults)[]) {
      Object.assign(member.faults, { [name]: NO_FAULTS[name] });
    }
  });

const crashDatabase = async (database: SoakDatabase, { duration }: FaultStrike): Promise<void> => {
  if (!database.member.isUp) return;
  await database.crash();
  await pause(duration);
  await database.restart();
};

const kill = async (instance: SoakInstance, { duration }: FaultStrike): Promise<void> => {
  await instance.end('kill');
  await pause(duration);
  instance.restart();
};

export const FAULT_HANDLERS = {
  instanceKilled: overInstance(kill),
  instancesKilled: async ({ instances }, fault) => {
    await Promise.all(instances.map((instance) => kill(instance, fault)));
  },
  instancePaused: overInstance(async (instance, { duration }) => {
    instance.freeze();
    await pause(duration);
    instance.thaw();
  }),
  instanceStopped: overInstance(async (instance) => {
    await instance.end('stop');
    instance.restart();
  }),
  instanceReloaded: overInstance(async (instance) => instance.reload()),
  callersReset: overInstance(async ({ callers }) => callers.resetAll()),
  callersSlow: overInstance(({ callers }, fault) => setFor(callers, 'delay', fault)),
  databaseCrash: overDatabase(crashDatabase),
  primaryCrash: async (world, fault) => {
    const primary = world.databases.find(({ member }) => member.role === 'primary');
    if (primary) await crashDatabase(primary, fault);
  },
  primaryLeaves: async ({ databases, setLeaving }, { duration }) => {
    const primary = databases.find(({ member }) => member.role === 'primary');
    if (!primary) return;
    setLeaving(primary.member, true);
    await pause(duration);
    setLeaving(primary.member, false);
  },
  databasesLeave: async ({ databases, setLeaving }, { duration }) => {
    for (const { member } of databases) setLeaving(member, true);
    await pause(duration);
    for (const { member } of databases) setLeaving(member, false);
  },
  databaseSilent: memberLink('silent'),
  databaseDeaf: memberLink('silentThere'),
  databaseMute: memberLink('silentBack'),
  databaseFar: memberLink('delay'),
  databaseReset: overDatabase(async ({ link }) => link.resetAll()),
  databaseBusy: memberFault({ busyAnswers: 40 }),
  databaseSlow: memberFault({ workTime: 150 }),
  answersLost: memberFault({ lostAnswers: 3 }),
  replicaLags: memberFault({ applyDelay: 1_800 }),
  replicaReceivesNothing: memberFault({ isDeaf: true }),
  storeDown: async ({ store }, { duration }) => {
    Object.assign(store.faults, { isDown: true });
    await pause(duration);
    Object.assign(store.faults, { isDown: false });
  },
  storeCut: storeLink('silent'),
  storeMute: storeLink('silentBack'),
  storeFar: storeLink('delay'),
  storeAnswersLost: async ({ store }) => {
    Object.assign(store.faults, { lostAnswers: 2 });
  },
  storeForgets: async ({ store }) => store.compact(),
  oddEntry: async ({ store, databases }, fault) => {
    const address = `127.0.0.1:${choose(databases, fault).link.port}`;
    const { kind, name, spec } = choose(listOddEntries(address), fault);
    for (const [value, json] of ODD_VALUES) store.faults.rawValues.set(value, json);
    store.put(kind, name, spec);
    await pause(fault.duration);
    // Others stay until the run ends, as nobody need remove them.
    if (fault.target % 2 === 0) store.remove(kind, name);
  },
  configurationChanges: async ({ configure }, { target }) => configure({ timeout: 800 + target }),
} satisfies Record<string, FaultHandler>;

export type FaultName = keyof typeof FAULT_HANDLERS;

export const FAULT_NAMES = Object.keys(FAULT_HANDLERS) as FaultName[];
