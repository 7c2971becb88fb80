import { readFileSync } from 'node:fs';

/** What a process has used since its start, and the memory that it holds. */
export interface ProcessUsage {
  processorMilliseconds: number;
  /** Bytes of its read and write calls, sockets included. */
  transferredBytes: number;
  residentMegabytes: number;
}

/** Ticks of the processor time in a second; the same on every Linux that Node runs on. */
const TICKS_PER_SECOND = 100;
/** Places of user and system time after the name in parentheses. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/** Reads the accounts that the kernel keeps of a process. */
export function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
  const transfer = readNumbers(`/proc/${pid}/io`);
  const memory = readNumbers(`/proc/${pid}/status`);
  return {
    processorMilliseconds: (ticks * 1_000) / TICKS_PER_SECOND,
    transferredBytes: (transfer.rchar ?? 0) + (transfer.wchar ?? 0),
    residentMegabytes: (memory.VmRSS ?? 0) / 1_024,
  };
}

function readNumbers(path: string): Record<string, number> {
  const lines = readFileSync(path, 'utf8').split('\n');
  return Object.fromEntries(
    lines.map((line) => {
      const [name = '', value = ''] = line.split(':');
      return [name, Number.parseInt(value, 10)];
    }),
  );
}
