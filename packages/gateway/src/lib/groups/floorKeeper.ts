import { askMember } from './memberQuestions';
import type { GroupContext } from './groupContext';

/** Learns a position of the primary where no answer of it has told one lately. */
export interface FloorKeeper {
  /** Resolves once the primary has answered, or not; all that wait share one question. */
  refresh: () => Promise<void>;
}

const QUESTION_MILLISECONDS = 400;

/** Pause after a question that was not answered. */
const PAUSE_MILLISECONDS = 50;

/**
 * After a start of all instances nobody knows a position that replicas could be asked for. With every
 * read going to the primary until then, its connections were taken by reads and writes found none.
 */
export function createFloorKeeper(context: GroupContext): FloorKeeper {
  const { belief } = context;
  let question: Promise<void> | undefined;

  async function ask(): Promise<void> {
    const primary = belief.find();
    const report =
      primary && (await askMember(context, primary, { type: 'status' }, QUESTION_MILLISECONDS));
    if (!report) await belief.waitForChange(PAUSE_MILLISECONDS);
  }

  return {
    refresh: () => {
      question ??= ask().finally(() => {
        question = undefined;
      });
      return question;
    },
  };
}
