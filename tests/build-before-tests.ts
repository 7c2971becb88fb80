import { spawnSync } from 'node:child_process';

/**
 * Bundles the programs once, since the process tests start them as separate processes.
 *
 * A program that does not bundle fails its own tests and leaves the others to run; the bundle step
 * of the test command fails for it as well.
 */
export default function buildBeforeTests(): void {
  spawnSync('node', ['scripts/bundle.mjs'], { stdio: 'inherit' });
}
