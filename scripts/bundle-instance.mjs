// Bundles the instance for the users' platform into target/, minified to start fast.
import { build } from 'esbuild';

await build({
  entryPoints: { wisterialift: 'platform/src/main.ts' },
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
});
