import { memberStatusSchema, type ReportedMemberStatus } from '@wisterialift/schema';

/** Parses the status responses of one member. @internal */
export interface StatusReader {
  /** @returns undefined if the text is not a valid status. */
  read: (text: Buffer) => ReportedMemberStatus | undefined;
}

/**
 * Creates a reader that caches the last status.
 *
 * Members are polled frequently while a write waits for a majority. An unchanged response is neither
 * parsed nor validated again.
 *
 * @internal
 */
export function createStatusReader(): StatusReader {
  let lastText: Buffer | undefined;
  let lastStatus: ReportedMemberStatus | undefined;
  return {
    read: (text) => {
      if (lastText?.equals(text)) return lastStatus;
      lastText = Buffer.from(text);
      lastStatus = parseStatus(lastText);
      return lastStatus;
    },
  };
}

function parseStatus(text: Buffer): ReportedMemberStatus | undefined {
  try {
    return memberStatusSchema.safeParse(JSON.parse(text.toString())).data;
  } catch {
    return undefined;
  }
}
