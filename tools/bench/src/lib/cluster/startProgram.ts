import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { existsSync } from 'node:fs';
import { join } from 'node:path';

/** A program of the project that runs as a process of its own. @public */
export interface ProgramProcess {
  pid: number;
  /** The lines that it wrote last, standard output and errors together. */
  lastLines: () => string[];
  isRunning: () => boolean;
  /** Resolves with the exit code when it has ended; null after a signal. */
  ended: Promise<number | null>;
  /** SIGKILL. */
  kill: () => Promise<void>;
  /** SIGSTOP: the process stands still and knows nothing of it. */
  freeze: () => void;
  /** SIGCONT. */
  thaw: () => void;
  /** SIGTERM, and SIGKILL when it has not ended in time; gives the exit code. */
  stop: (timeoutMilliseconds?: number) => Promise<number | null>;
}

/** How a program is started. */
export interface ProgramOptions {
  /** Name of the bundle without its ending, for example `stand-in-platform`. */
  program: string;
  programArguments: string[];
  /** Modules that Node loads before the program. */
  preload?: string[];
  environment?: Record<string, string>;
  /** Runs for each line of standard output. */
  onLine?: (line: string) => void;
}

/** A program that did not start or did not get ready. @public */
export class ProgramError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'ProgramError';
  }
}

const KEPT_LINES = 200;
const STOP_TIMEOUT_MILLISECONDS = 10_000;

/** Finds a bundle beside the running one, or in `dist` of the working directory. */
export function findProgram(program: string): string {
  const file = `${program}.cjs`;
  const candidates = [join(__dirname, file), join(process.cwd(), 'dist', file)];
  const found = candidates.find((path) => existsSync(path));
  if (found === undefined) throw new ProgramError(`${file} is not built: ${candidates.join(', ')}`);
  return found;
}

const running = new Set<ChildProcess>();

/** A process that ends without stopping its trial, by an error or a signal, leaves none behind. */
function killAll(): void {
  running.forEach((child) => child.kill('SIGKILL'));
}

function keepUntilEnd(child: ChildProcess): void {
  if (running.size === 0) process.once('exit', killAll);
  running.add(child);
  child.once('exit', () => {
    running.delete(child);
    if (running.size === 0) process.off('exit', killAll);
  });
}

/** Starts a program; the caller stops it. @public */
export function startProgram(options: ProgramOptions): ProgramProcess {
  const { program, programArguments, preload = [], environment = {}, onLine } = options;
  const nodeArguments = preload.flatMap((path) => ['--require', path]);
  const child = spawn(
    process.execPath,
    [...nodeArguments, findProgram(program), ...programArguments],
    { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...environment } },
  );
  const { pid } = child;
  if (pid === undefined) throw new ProgramError(`${program} did not start`);

  keepUntilEnd(child);

  const lines: string[] = [];
  const keepLine = (line: string): void => {
    lines.push(line);
    if (lines.length > KEPT_LINES) lines.shift();
  };
  readLines(child.stdout, (line) => {
    keepLine(line);
    onLine?.(line);
  });
  readLines(child.stderr, keepLine);
  const ended = new Promise<number | null>((resolve) => {
    child.once('exit', (code) => resolve(code));
  });
  const isRunning = (): boolean => child.exitCode === null && child.signalCode === null;

  return {
    pid,
    lastLines: () => [...lines],
    isRunning,
    ended,
    kill: async () => {
      child.kill('SIGKILL');
      await ended;
    },
    freeze: () => {
      child.kill('SIGSTOP');
    },
    thaw: () => {
      child.kill('SIGCONT');
    },
    stop: async (timeoutMilliseconds = STOP_TIMEOUT_MILLISECONDS) => {
      // A process that stands still takes no SIGTERM; it is let go on first.
      child.kill('SIGCONT');
      child.kill('SIGTERM');
      const timer = setTimeout(() => child.kill('SIGKILL'), timeoutMilliseconds);
      const code = await ended;
      clearTimeout(timer);
      return code;
    },
  };
}

function readLines(stream: NodeJS.ReadableStream, onLine: (line: string) => void): void {
  let rest = '';
  stream.setEncoding('utf8');
  stream.on('data', (chunk: string) => {
    const parts = (rest + chunk).split('\n');
    rest = parts.pop() ?? '';
    parts.forEach(onLine);
  });
}

/** What a stand-in prints when it listens. */
export interface ReadyEvent {
  port: number;
  controlPort: number;
}

const READY_TIMEOUT_MILLISECONDS = 30_000;

/**
 * Starts a stand-in and waits until it listens.
 *
 * @throws ProgramError with its last lines where it ends or stays silent.
 */
export async function startStandIn(
  options: ProgramOptions,
): Promise<{ program: ProgramProcess; ready: ReadyEvent }> {
  let timer: NodeJS.Timeout | undefined;
  let program: ProgramProcess | undefined;
  const ready = new Promise<ReadyEvent | undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), READY_TIMEOUT_MILLISECONDS);
    const onLine = (line: string): void => {
      if (line.includes('"event":"ready"')) resolve(JSON.parse(line) as ReadyEvent);
    };
    program = startProgram({ ...options, onLine });
    void program.ended.then(() => resolve(undefined));
  });
  const event = await ready;
  clearTimeout(timer);
  if (!program || !event) {
    const lines = program?.lastLines().join('\n') ?? '';
    await program?.kill();
    throw new ProgramError(`${options.program} did not get ready:\n${lines}`);
  }
  return { program, ready: event };
}
