// Bundles the workspace, then runs the tool named by the first argument with the rest.
import { spawnSync } from 'node:child_process';

const [tool, ...toolArguments] = process.argv.slice(2);
const bundle = spawnSync('node', ['scripts/bundle.mjs'], { stdio: 'inherit' });
if (bundle.status !== 0) process.exit(bundle.status ?? 1);
const run = spawnSync('node', [`dist/${tool}.cjs`, ...toolArguments], { stdio: 'inherit' });
process.exit(run.status ?? 1);
