import { execFileSync } from 'node:child_process';

/** Bundles the programs once, since the process tests start them as separate processes. */
export default function buildBeforeTests(): void {
  execFileSync('node', ['scripts/bundle.mjs'], { stdio: 'inherit' });
}
