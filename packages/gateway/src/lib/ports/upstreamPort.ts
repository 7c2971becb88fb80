import type { MemberReport, UpstreamAnswer, UpstreamCommand } from '@wisterialift/pooling';

/** One connection to a member; answers come in the order of the commands. @public */
export interface UpstreamConnection {
  /** @throws UpstreamLostError where the connection ends before the whole answer. */
  run: (command: UpstreamCommand) => Promise<UpstreamAnswer>;
  isOpen: () => boolean;
  close: () => void;
}

/** Whom to connect to; a member that is somebody else refuses. @public */
export interface UpstreamTarget {
  group: string;
  memberId: string;
  address: string;
  timeoutMilliseconds: number;
}

/** Speaks the protocol of the databases. @public */
export interface UpstreamDriver {
  /**
   * @throws UpstreamRefusedError where the member answers with a refusal.
   * @throws UpstreamLostError where it does not answer.
   */
  connect: (target: UpstreamTarget) => Promise<UpstreamConnection>;
  /** Reads the answer to `status`, `pause` or `demote`; undefined where it cannot be understood. */
  readReport: (answer: UpstreamAnswer) => MemberReport | undefined;
}
