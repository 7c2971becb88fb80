// Bundles the instance for the users' platform into target/, minified to start fast.
import { build } from 'esbuild';

/** What a deployment may never need is a file of its own, which the program reads at its first use. */
const SEPARATE = { '@wisterialift/peer/relay': './relay.cjs' };

const options = {
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  external: ['dtrace-provider'],
  logLevel: 'warning',
};

await build({ ...options, entryPoints: { relay: 'packages/peer/src/relay.ts' } });
await build({
  ...options,
  entryPoints: { wisterialift: 'platform/src/main.ts' },
  plugins: [
    {
      name: 'separate-files',
      setup: ({ onResolve }) => {
        onResolve({ filter: /./ }, ({ path }) =>
          SEPARATE[path] ? { path: SEPARATE[path], external: true } : undefined,
        );
      },
    },
  ],
});
