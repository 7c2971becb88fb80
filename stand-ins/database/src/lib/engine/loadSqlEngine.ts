import { existsSync, readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join } from 'node:path';
import initSqlJs from 'sql.js';
import type { SqlJs } from 'sql.js';

const WASM_FILE = 'sql-wasm.wasm';

/** Loads the SQL engine from the file beside the bundle, or from the package when run from sources. */
export function loadSqlEngine(): Promise<SqlJs> {
  return initSqlJs({ wasmBinary: readFileSync(findWasmFile()) });
}

function findWasmFile(): string {
  const besideBundle = join(__dirname, WASM_FILE);
  if (existsSync(besideBundle)) return besideBundle;
  return createRequire(join(__dirname, 'index.js')).resolve(`sql.js/dist/${WASM_FILE}`);
}
