import { planRegisterUpdate } from '@wisterialift/pooling';
import type { MemberRegister, RegisteredMember } from '@wisterialift/pooling';
import type { MemberRegisterStore, StoredRecord } from '../ports/platformPort';
import type { GroupContext } from './groupContext';

/** Reads the group's register of members and replaces it when it is out of date. */
export interface RegisterSynchronizer {
  /** Returns the register as it was read last; it may have members removed since. */
  getRegister: () => MemberRegister | undefined;
  /** Whether members may have been registered since that this instance never listed. */
  isOutdated: () => boolean;
  /** Records that the directory may have listed members that this instance has not seen. */
  recordGap: () => void;
  /** Updates the register if that is needed; concurrent calls share one update. */
  synchronize: () => Promise<void>;
  /** Reads the register again; false if the store does not answer or the register is damaged. */
  refresh: () => Promise<boolean>;
}

export interface RegisterSynchronizerOptions {
  memberRegisters: MemberRegisterStore;
  isDirectoryRecent: () => boolean;
  /** Reads the directory again. @throws Error if the store does not answer. */
  refreshDirectory: () => Promise<void>;
  /** Whether the register should name other members. */
  needsUpdate: () => boolean;
  /** Members that the register should name, if it exists and if it does not. */
  listAddable: (isStored: boolean) => RegisteredMember[];
  isRemovable: (member: RegisteredMember) => boolean;
  onRead: () => void;
}

type StoredRegister = StoredRecord<MemberRegister | undefined>;

/** Random delay, so that one instance registers a member and the others find it done. */
const MAXIMUM_JITTER_MILLISECONDS = 200;

/** Pause after the store did not answer. */
const RETRY_DELAY_MILLISECONDS = 500;

/** Tries to replace a register that other instances replace at the same time. */
const MAXIMUM_REPLACEMENTS = 3;

export function createRegisterSynchronizer(
  { clock, group, logger, random }: GroupContext,
  options: RegisterSynchronizerOptions,
): RegisterSynchronizer {
  const { memberRegisters, isDirectoryRecent, listAddable, isRemovable } = options;
  let register: MemberRegister | undefined;
  let registerRevision = -Infinity;
  let gapCount = 0;
  /** Gaps that had ended when the register was requested. */
  let coveredGapCount = 0;
  let isSynchronizing = false;

  const isOutdated = () => register === undefined || coveredGapCount < gapCount;

  const needsUpdate = () => isDirectoryRecent() && (isOutdated() || options.needsUpdate());

  async function readStored(): Promise<StoredRegister | undefined> {
    const gaps = gapCount;
    const stored = await memberRegisters.read(group);
    coveredGapCount = gaps;
    if (stored?.record) adopt({ ...stored, record: stored.record });
    // A damaged register may have named members that this instance never listed.
    else if (stored) gapCount += 1;
    return stored;
  }

  function adopt({ record, revision }: StoredRecord<MemberRegister>): void {
    if (revision < registerRevision) return;
    register = record;
    registerRevision = revision;
    options.onRead();
  }

  /** @returns whether another instance replaced the register in the meantime. */
  async function replaceIfOutdated(stored: StoredRegister | undefined): Promise<boolean> {
    const plan = () =>
      planRegisterUpdate({
        registered: stored?.record?.members ?? [],
        addable: listAddable(stored?.record !== undefined),
        isRemovable,
      });
    // Without the refresh, a member could be registered after its departure was tracked elsewhere, or
    // taken off after it was listed again.
    if (plan()) await options.refreshDirectory();
    const planned = plan();
    if (!planned || !isDirectoryRecent()) return false;
    const { added, removed, next } = planned;
    const outcome = await memberRegisters.replace({
      group,
      record: next,
      revision: stored?.revision,
    });
    logger.info('membersRegistered', { group, added, removed, outcome: outcome.type });
    if (outcome.type === 'replaced') adopt({ record: next, revision: outcome.revision });
    return outcome.type === 'conflict';
  }

  async function update(): Promise<void> {
    // An instance that starts reads at once: its first reads may need the register.
    const isKnown = !isOutdated() || (await readStored())?.record !== undefined;
    if (isKnown && !needsUpdate()) return;
    await clock.sleep(random() * MAXIMUM_JITTER_MILLISECONDS);
    for (let attempt = 0; attempt < MAXIMUM_REPLACEMENTS; attempt += 1) {
      const isConflict = await replaceIfOutdated(await readStored());
      if (!isConflict) return;
    }
  }

  return {
    getRegister: () => register,
    isOutdated,
    recordGap: () => {
      gapCount += 1;
    },
    synchronize: async () => {
      if (isSynchronizing || !needsUpdate()) return;
      isSynchronizing = true;
      try {
        await update();
      } catch (error) {
        logger.warn('memberRegisterNotUpdated', { group, error: error as Error });
        await clock.sleep(RETRY_DELAY_MILLISECONDS);
      } finally {
        isSynchronizing = false;
      }
    },
    refresh: async () => {
      try {
        const stored = await readStored();
        return !stored || stored.record !== undefined;
      } catch (error) {
        logger.warn('memberRegisterNotRead', { group, error: error as Error });
        return false;
      }
    },
  };
}
