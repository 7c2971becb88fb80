// Bundles every program of the workspace into dist/*.cjs.
import { copyFileSync, existsSync, mkdirSync } from 'node:fs';
import { createRequire } from 'node:module';
import { build } from 'esbuild';

/** Entry module of each program, by the name of its bundle. */
const entryPoints = {
  wisterialift: 'packages/cli/src/main.ts',
  'wisterialift-instance': 'platform/src/main.ts',
  'stand-in-platform': 'stand-ins/platform/src/main.ts',
  'stand-in-database': 'stand-ins/database/src/main.ts',
  bench: 'tools/bench/src/main.ts',
  demo: 'tools/demo/src/main.ts',
  fuzz: 'tools/fuzz/src/main.ts',
  soak: 'tools/soak/src/main.ts',
  experiment: 'tools/world/src/main.ts',
};

/**
 * In the single executable, `require` knows built-in modules alone and warns on any other. An
 * optional module of the logger is tried at the start, so the ordinary `require` takes its place.
 */
const EXECUTABLE_BANNER = [
  'try {',
  "  if (require('node:sea').isSea()) {",
  "    require = require('node:module').createRequire(process.execPath);",
  '  }',
  '} catch {}',
].join('\n');

/** Bundles one program; a program that does not bundle leaves the others usable. */
function bundleProgram([name, path]) {
  return build({
    entryPoints: { [name]: path },
    outdir: 'dist',
    outExtension: { '.js': '.cjs' },
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    external: ['dtrace-provider'],
    banner: { js: EXECUTABLE_BANNER },
    logLevel: 'warning',
  });
}

mkdirSync('dist', { recursive: true });
const present = Object.entries(entryPoints).filter(([, path]) => existsSync(path));
const results = await Promise.allSettled(present.map(bundleProgram));

// The database stand-in loads its SQL engine from a WebAssembly file beside the bundle.
const { resolve } = createRequire(import.meta.url);
copyFileSync(resolve('sql.js/dist/sql-wasm.wasm'), 'dist/sql-wasm.wasm');

if (results.some(({ status }) => status === 'rejected')) process.exitCode = 1;
