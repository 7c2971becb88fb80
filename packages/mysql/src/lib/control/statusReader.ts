import { memberStatusSchema, type MemberStatus } from '@wisterialift/schema';

/** Reads the statuses of one member. @internal */
export interface StatusReader {
  /** @returns undefined where the text is no status. */
  read: (text: Buffer) => MemberStatus | undefined;
}

/**
 * Creates a reader that remembers the last status.
 *
 * While a write waits for a majority its members are asked again and again, and most answers are the
 * same as before; those are neither parsed nor checked anew.
 *
 * @internal
 */
export function createStatusReader(): StatusReader {
  let lastText: Buffer | undefined;
  let lastStatus: MemberStatus | undefined;
  return {
    read: (text) => {
      if (lastText?.equals(text)) return lastStatus;
      lastText = Buffer.from(text);
      lastStatus = parseStatus(lastText);
      return lastStatus;
    },
  };
}

function parseStatus(text: Buffer): MemberStatus | undefined {
  try {
    return memberStatusSchema.safeParse(JSON.parse(text.toString())).data;
  } catch {
    return undefined;
  }
}
