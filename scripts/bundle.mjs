// Bundles every program of the workspace into dist/*.cjs.
import { copyFileSync, existsSync, mkdirSync } from 'node:fs';
import { createRequire } from 'node:module';
import { build } from 'esbuild';

/** Entry module of each program, by the name of its bundle. */
const entryPoints = {
  wisterialift: 'packages/cli/src/main.ts',
  'stand-in-platform': 'stand-ins/platform/src/main.ts',
  'stand-in-database': 'stand-ins/database/src/main.ts',
  bench: 'tools/bench/src/main.ts',
  demo: 'tools/demo/src/main.ts',
  fuzz: 'tools/fuzz/src/main.ts',
};

const present = Object.fromEntries(
  Object.entries(entryPoints).filter(([, path]) => existsSync(path)),
);

mkdirSync('dist', { recursive: true });
await build({
  entryPoints: present,
  outdir: 'dist',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  sourcemap: false,
  external: ['dtrace-provider'],
  logLevel: 'warning',
});

// The database stand-in loads its SQL engine from a WebAssembly file beside the bundle.
const { resolve } = createRequire(import.meta.url);
copyFileSync(resolve('sql.js/dist/sql-wasm.wasm'), 'dist/sql-wasm.wasm');
