import type { RelayRequest, RelayResponse, RelayStream } from '@wisterialift/peer/relay';
import type { CancelTimer, Clock } from '../ports/clock';
import type { RelayTransport } from '../ports/instancePort';

/** Fields set in a request; a liveness probe sets none. */
export type RelayRequestFields = Partial<Omit<RelayRequest, 'number'>>;

/** Outcome of a request to another instance. */
export type RelayOutcome =
  | { type: 'answered'; response: RelayResponse }
  /** The stream was lost before the request was sent. */
  | { type: 'notSent' }
  /** The request was sent, but no answer arrived before the stream was lost or `answerBy`. */
  | { type: 'lost' };

/** A relay stream to another instance, with its pending requests. */
export interface PeerLink {
  /** @param answerBy - deadline of the answer, in monotonic milliseconds. */
  request: (content: RelayRequestFields, answerBy: number) => Promise<RelayOutcome>;
  /** Returns a transaction number that is unique on this stream. */
  allocateTransactionNumber: () => number;
  rollBack: (transaction: number) => void;
  /** Whether new statements may be sent; also true while the stream is opening. */
  isUsable: () => boolean;
  isOpen: () => boolean;
  /** Whether the other instance tells of new configuration versions promptly. */
  tellsVersions: () => boolean;
  countPendingRequests: () => number;
  close: () => void;
}

export interface PeerLinkOptions {
  transport: RelayTransport;
  address: string;
  clock: Clock;
  onOpen: () => void;
  /** Called with the configuration version of each response. */
  onVersion: (version: number) => void;
  onLost: (error: Error) => void;
}

/** Expires before the 1 s retransmission of a lost packet: another instance answers sooner. */
const OPEN_TIMEOUT_MILLISECONDS = 500;

const LIVENESS_CHECK_INTERVAL_MILLISECONDS = 100;

/** Time without a response before a probe is sent; longer than most answers take. */
const PROBE_THRESHOLD_MILLISECONDS = 200;

/** Allows for 100 ms scheduler pauses of the remote instance and a 50 ms round trip. */
const PROBE_TIMEOUT_MILLISECONDS = 450;

/** Delay of a check that indicates a stall of this process instead of the remote instance. */
const LOCAL_STALL_THRESHOLD_MILLISECONDS = 150;

type LinkState = 'opening' | 'open' | 'draining' | 'lost';

interface PendingRequest {
  settle: (outcome: RelayOutcome) => void;
}

/** Opens a stream to another instance. */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
  const { transport, address, clock, onOpen, onVersion, onLost } = options;
  const pendingRequests = new Map<number, PendingRequest>();
  const openWaiters: (() => void)[] = [];
  let state: LinkState = 'opening';
  let isCurrent = false;
  let lastRequestNumber = 0;
  let lastTransactionNumber = 0;
  let lastReceivedAt = clock.now();
  let probeSentAt: number | undefined;
  let lastCheckAt = clock.now();
  let stopLivenessChecks: CancelTimer | undefined;

  const stream: RelayStream = transport.open(address, {
    onResponse: handleResponse,
    onLost: handleLoss,
  });
  const cancelOpening = clock.runAfter(OPEN_TIMEOUT_MILLISECONDS, () => {
    handleLoss(new Error(`instance at ${address} did not open a stream in time`));
  });

  function handleResponse(response: RelayResponse): void {
    const { number, isLeaving, version, isConfigurationCurrent } = response;
    lastReceivedAt = clock.now();
    probeSentAt = undefined;
    if (state === 'opening') {
      finishOpening('open');
      onOpen();
    }
    if (isLeaving) state = 'draining';
    isCurrent = isConfigurationCurrent;
    if (number > 0) settleRequest(number, { type: 'answered', response });
    onVersion(version);
  }

  function finishOpening(next: LinkState): void {
    cancelOpening();
    state = next;
    for (const resume of openWaiters.splice(0)) resume();
  }

  function settleRequest(number: number, outcome: RelayOutcome): void {
    const pendingRequest = pendingRequests.get(number);
    pendingRequests.delete(number);
    pendingRequest?.settle(outcome);
    if (pendingRequests.size === 0) stopLivenessChecks?.();
  }

  function handleLoss(error: Error): void {
    if (state === 'lost') return;
    finishOpening('lost');
    stopLivenessChecks?.();
    for (const number of [...pendingRequests.keys()]) settleRequest(number, { type: 'lost' });
    stream.close();
    onLost(error);
  }

  /**
   * Detects a stream that failed without an error, as after a power loss or a network partition.
   * Otherwise, every statement on the stream would wait for its time limit.
   */
  function checkLiveness(): void {
    const now = clock.now();
    const hasStalled =
      now - lastCheckAt > LIVENESS_CHECK_INTERVAL_MILLISECONDS + LOCAL_STALL_THRESHOLD_MILLISECONDS;
    lastCheckAt = now;
    if (hasStalled) {
      probeSentAt = undefined;
      lastReceivedAt = now;
    } else if (probeSentAt !== undefined && now - probeSentAt > PROBE_TIMEOUT_MILLISECONDS) {
      handleLoss(new Error(`liveness probe timed out: ${address} has gone silent`));
    } else if (probeSentAt === undefined && now - lastReceivedAt > PROBE_THRESHOLD_MILLISECONDS) {
      probeSentAt = now;
      lastRequestNumber += 1;
      send(lastRequestNumber, {});
    }
  }

  function send(number: number, content: RelayRequestFields): void {
    stream.send({
      number,
      statement: undefined,
      rolledBackTransaction: 0,
      wantsConfiguration: false,
      configurationJson: '',
      permits: undefined,
      primaryProbe: undefined,
      ...content,
    });
  }

  function waitUntilOpen(): Promise<void> {
    if (state !== 'opening') return Promise.resolve();
    return new Promise((resolve) => {
      openWaiters.push(resolve);
    });
  }

  function startLivenessChecks(): void {
    if (pendingRequests.size > 1) return;
    lastReceivedAt = clock.now();
    lastCheckAt = lastReceivedAt;
    probeSentAt = undefined;
    stopLivenessChecks?.();
    stopLivenessChecks = clock.runEvery(LIVENESS_CHECK_INTERVAL_MILLISECONDS, checkLiveness);
  }

  async function request(content: RelayRequestFields, answerBy: number): Promise<RelayOutcome> {
    await waitUntilOpen();
    if (clock.now() >= answerBy) return { type: 'notSent' };
    if (state === 'lost') return { type: 'notSent' };
    lastRequestNumber += 1;
    const number = lastRequestNumber;
    return new Promise((resolve) => {
      const cancelLimit = clock.runAfter(answerBy - clock.now(), () => {
        settleRequest(number, { type: 'lost' });
      });
      pendingRequests.set(number, {
        settle: (outcome) => {
          cancelLimit();
          resolve(outcome);
        },
      });
      startLivenessChecks();
      send(number, content);
    });
  }

  return {
    request,
    allocateTransactionNumber: () => {
      lastTransactionNumber += 1;
      return lastTransactionNumber;
    },
    rollBack: (transaction) => {
      if (state === 'lost') return;
      send(0, { rolledBackTransaction: transaction });
    },
    isOpen: () => state === 'open',
    tellsVersions: () => state === 'open' && isCurrent,
    isUsable: () => state === 'opening' || state === 'open',
    countPendingRequests: () => pendingRequests.size,
    close: () => {
      if (state !== 'lost') handleLoss(new Error('relay stream closed by this instance'));
    },
  };
}
