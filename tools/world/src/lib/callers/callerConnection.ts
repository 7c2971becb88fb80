import type { CallerAnswer, Clock } from '@wisterialift/gateway';
import type { CallerStatement } from '@wisterialift/pooling';
import type { CallerMessage, CallerReply, SimulatedInstance } from '../instances/simulatedInstance';
import type { Host, Simulation } from '../simulation/host';
import { openStream } from '../simulation/stream';
import type { SessionTexts } from './sessionTexts';

/** A session of a caller with an instance. @internal */
export interface CallerConnection {
  instance: SimulatedInstance;
  /** What its session prepared; undefined where callers draw no texts. */
  texts: SessionTexts | undefined;
  /** Undefined where the session ended, or no answer came by the deadline. */
  run: (statement: CallerStatement, deadlineAt: number) => Promise<CallerAnswer | undefined>;
  isOpen: () => boolean;
  close: () => void;
}

/** Callers give up a session that has not started by then. */
const START_MILLISECONDS = 2_000;

/** Opens a session; undefined where it is refused or does not start in time. @internal */
export function connectCaller(options: {
  simulation: Simulation;
  clock: Clock;
  caller: Host;
  instance: SimulatedInstance;
  database: string;
  keyDigest?: string;
  texts?: SessionTexts;
}): Promise<CallerConnection | undefined> {
  const { simulation, clock, caller, instance, database, keyDigest, texts } = options;
  return new Promise((resolve) => {
    let waiting: ((answer: CallerAnswer | undefined) => void) | undefined;
    const end = openStream<CallerMessage, CallerReply>({
      simulation,
      client: caller,
      server: instance.host,
      accept: instance.accept,
      onOpen: () => end.send({ type: 'startup', database, keyDigest }),
      events: {
        onMessage: (reply) => {
          if (reply.type === 'ready') accept();
          else if (reply.type === 'refused') finish();
          else take(reply.answer);
        },
        onClose: finish,
      },
    });
    const cancelStart = clock.runAfter(START_MILLISECONDS, () => {
      end.close();
      finish();
    });

    function take(answer: CallerAnswer | undefined): void {
      const taken = waiting;
      waiting = undefined;
      taken?.(answer);
    }

    function finish(): void {
      cancelStart();
      take(undefined);
      resolve(undefined);
    }

    function run(statement: CallerStatement, deadlineAt: number) {
      return new Promise<CallerAnswer | undefined>((answer) => {
        if (!end.isOpen()) {
          answer(undefined);
          return;
        }
        const cancelDeadline = clock.runAfter(deadlineAt - clock.now(), () => {
          end.close();
          take(undefined);
        });
        waiting = (taken) => {
          cancelDeadline();
          answer(taken);
        };
        end.send({ type: 'statement', statement });
      });
    }

    function accept(): void {
      cancelStart();
      resolve({ instance, texts, run, isOpen: end.isOpen, close: end.close });
    }
  });
}
