import { isDeepStrictEqual } from 'node:util';
import type { PreparedStatement } from '@wisterialift/pooling';

/** A caller's statement as a database ran it, or as it was sent. @internal */
export interface ComparedStatement {
  id: string;
  /** The whole text, or the arguments of a prepared statement. */
  text: string;
  prepared: PreparedStatement | undefined;
  values: ReadonlyMap<string, string>;
}

/** Holds what databases run against what callers sent. @internal */
export interface StatementOracle {
  noteSent: (statement: ComparedStatement) => void;
  checkRun: (statement: ComparedStatement) => void;
}

/** @internal */
export function createStatementOracle(
  report: (promise: 'unasked' | 'pinned', detail: string) => void,
): StatementOracle {
  const sent = new Map<string, ComparedStatement>();

  return {
    noteSent: (statement) => sent.set(statement.id, statement),
    checkRun: ({ id, text, prepared, values }) => {
      const expected = sent.get(id);
      if (!expected) {
        report('unasked', `${id} was not sent: ${JSON.stringify(text)}`);
        return;
      }
      if (expected.text !== text) report('unasked', `${id} ran as ${JSON.stringify(text)}`);
      if (!isDeepStrictEqual(expected.prepared, prepared)) {
        report('pinned', `${id} ran as ${JSON.stringify(prepared)}`);
      }
      if (!isDeepStrictEqual(expected.values, values)) {
        report('pinned', `${id} ran with ${JSON.stringify([...values])}`);
      }
    },
  };
}
