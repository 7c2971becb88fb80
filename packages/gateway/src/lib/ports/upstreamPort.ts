import type { MemberReport, UpstreamAnswer, UpstreamCommand } from '@wisterialift/pooling';

/** One connection to a member; answers arrive in command order. @public */
export interface UpstreamConnection {
  /** @throws UpstreamLostError if the connection ends before the answer is complete. */
  run: (command: UpstreamCommand) => Promise<UpstreamAnswer>;
  isOpen: () => boolean;
  close: () => void;
}

/** Member to connect to; a process with another identity refuses the connection. @public */
export interface UpstreamTarget {
  group: string;
  memberId: string;
  address: string;
  timeoutMilliseconds: number;
  /** Team whose statements the connection runs; undefined if they belong to none. */
  team: string | undefined;
}

/** Client of the database protocol. @public */
export interface UpstreamDriver {
  /**
   * @throws UpstreamRefusedError if the member refuses the connection.
   * @throws UpstreamLostError if the member does not answer.
   */
  connect: (target: UpstreamTarget) => Promise<UpstreamConnection>;
  /** Parses the answer to `status`, `pause` or `demote`; returns undefined if it is malformed. */
  readReport: (answer: UpstreamAnswer) => MemberReport | undefined;
}
