// Bundles the instance for the users' platform into target/, minified and compiled to start fast.
import { execFileSync } from 'node:child_process';
import { rmSync } from 'node:fs';
import { build } from 'esbuild';

/** What is a file of its own, read at its first use: the program, and what a deployment may never need. */
const SEPARATE = {
  '@wisterialift/peer/relay': './relay.cjs',
  './lib/startInstance': './instance.cjs',
};

const options = {
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  // A plain require of the files beside it; the loader of modules takes a tenth of the start.
  supported: { 'dynamic-import': false },
  // The program is read as bytes.
  charset: 'ascii',
  external: ['dtrace-provider'],
  logLevel: 'warning',
  plugins: [
    {
      name: 'separate-files',
      setup: ({ onResolve }) => {
        onResolve({ filter: /./ }, ({ path, kind }) =>
          kind !== 'entry-point' && SEPARATE[path]
            ? { path: SEPARATE[path], external: true }
            : undefined,
        );
      },
    },
  ],
};

// Code that was compiled for a former program of the same length would be taken for that of this one.
for (const name of ['program', 'relayLibrary']) rmSync(`target/${name}.cache`, { force: true });

await build({
  ...options,
  plugins: [],
  entryPoints: { relayLibrary: 'packages/peer/src/relay.ts' },
});
await build({
  ...options,
  entryPoints: {
    wisterialift: 'platform/src/main.ts',
    instance: 'platform/src/cachedProgram.ts',
    relay: 'platform/src/cachedRelay.ts',
    program: 'platform/src/lib/startInstance.ts',
  },
});

/** Compiled code is taken only by a runtime with the same flags; these are those of the deploy file. */
const FLAGS = ['--max-old-space-size=200'];
execFileSync(process.execPath, [...FLAGS, 'scripts/compile-ahead.mjs'], { stdio: 'inherit' });
