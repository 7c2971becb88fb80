import { randomUUID } from 'node:crypto';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

const UUID_FILE = 'server-uuid';

/**
 * Reads the `server_uuid` that lies beside the log; a directory without one, and a database without a
 * directory, get a new one.
 */
export function readServerUuid(directory?: string): string {
  if (directory === undefined) return randomUUID();
  const file = join(directory, UUID_FILE);
  if (existsSync(file)) return readFileSync(file, 'utf8');
  const uuid = randomUUID();
  writeFileSync(file, uuid);
  return uuid;
}
