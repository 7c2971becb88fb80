import { createGateway } from '@wisterialift/gateway';
import type { CallerAcceptor, CallerLink, Gateway, GatewayOptions } from '@wisterialift/gateway';
import type { CallerStatement } from '@wisterialift/pooling';
import type { Logger } from '@wisterialift/telemetry';
import type { Host, Simulation } from '../simulation/host';
import { createSimulatedClock } from '../simulation/simulatedClock';
import type { StreamAcceptor } from '../simulation/stream';

/** What a caller sends over its connection to an instance. @internal */
export type CallerMessage =
  | { type: 'startup'; database: string; keyDigest?: string }
  | { type: 'statement'; statement: CallerStatement };

/** What an instance sends to a caller. @internal */
export type CallerReply =
  | { type: 'ready' }
  | { type: 'refused' }
  | { type: 'answer'; answer: Parameters<CallerLink['answer']>[0] };

type GroupCounters = ReturnType<Gateway['getCounters']>[string];

/** One instance with the real gateway in it. @internal */
export interface SimulatedInstance {
  host: Host;
  /** Takes connections of callers; undefined while the process does not listen. */
  accept: () => StreamAcceptor<CallerMessage, CallerReply> | undefined;
  isReady: () => boolean;
  start: () => void;
  /** Ends the process at once; it starts again after a moment. */
  kill: () => void;
  losePower: () => void;
  /** Power is back, and the process starts. */
  restorePower: () => void;
  /** Asks the process to stop, and starts it again after its end. */
  stopAndRestart: (grace: number) => void;
  /** What its groups counted, one entry for each group of each life. */
  counters: () => GroupCounters[];
}

/** Pause before a process that ended is started again. */
const RESTART_MILLISECONDS = 200;

/** Creates an instance that is not started yet. @internal */
export function createSimulatedInstance(options: {
  simulation: Simulation;
  host: Host;
  /** Time from the start of the process until it listens. */
  startTime: number;
  logger: Logger;
  /** The rest of the gateway's options for a new life of the process. */
  portsFor: (host: Host) => Omit<GatewayOptions, 'clock' | 'logger' | 'random' | 'onAnswered'>;
}): SimulatedInstance {
  const { simulation, host, startTime, logger, portsFor } = options;
  const { random, scheduler } = simulation;
  let gateway: Gateway | undefined;
  const formerCounters: GroupCounters[] = [];
  let isListening = false;

  function start(): void {
    const life = host.life();
    const spread = startTime * (0.85 + 0.3 * random.next());
    scheduler.after(spread, () => {
      if (host.life() === life && host.isPowered()) open(life);
    });
  }

  function open(life: number): void {
    const clock = createSimulatedClock(scheduler, () => host.life() === life && host.isPowered());
    gateway = createGateway({
      ...portsFor(host),
      clock,
      logger,
      random: random.next,
      onAnswered: () => undefined,
    });
    isListening = true;
  }

  const presentCounters = () => Object.values(gateway?.getCounters() ?? {});

  function forget(): void {
    formerCounters.push(...presentCounters());
    gateway?.close();
    gateway = undefined;
    isListening = false;
  }

  function endProcess(): void {
    host.kill();
    forget();
    scheduler.after(RESTART_MILLISECONDS, start);
  }

  return {
    host,
    accept: () => {
      const running = gateway;
      if (!running || !isListening) return undefined;
      return (end) => serveCaller(running.acceptCaller, end);
    },
    isReady: () => host.isPowered() && (gateway?.isReady() ?? false),
    start,
    kill: endProcess,
    losePower: () => {
      host.losePower();
      forget();
    },
    restorePower: () => {
      host.restorePower();
      start();
    },
    stopAndRestart: (grace) => {
      const stopping = gateway;
      const life = host.life();
      const finish = () => {
        if (host.life() === life) endProcess();
      };
      const stopAccepting = () => {
        isListening = false;
      };
      void stopping?.drain(stopAccepting).then(finish);
      scheduler.after(grace, finish);
    },
    counters: () => [...formerCounters, ...presentCounters()],
  };
}

function serveCaller(
  acceptCaller: CallerAcceptor,
  end: Parameters<StreamAcceptor<CallerMessage, CallerReply>>[0],
): ReturnType<StreamAcceptor<CallerMessage, CallerReply>> {
  const events = acceptCaller({
    accept: () => end.send({ type: 'ready' }),
    refuse: () => {
      end.send({ type: 'refused' });
      end.close();
    },
    answer: (answer) => end.send({ type: 'answer', answer }),
    close: end.close,
    hasUnsentData: () => false,
  });
  return {
    onMessage: (message) => {
      if (message.type === 'startup') events.onStart(message.database, message.keyDigest);
      else events.onStatement(message.statement);
    },
    onClose: events.onDisconnect,
  };
}
