import type { Trial } from '../cluster/startTrial';
import { repeatFor } from '../load/timings';

const READ = 'SELECT note FROM records WHERE id = ?';
const WRITE = "INSERT INTO records (id, session, note) VALUES ('warm-up', 'warm-up', 'test')";
const CONNECTIONS_PER_PROXY = 8;

/**
 * Runs statements at every proxy and group until the programs are compiled: a cold proxy takes
 * several times the processor time for a statement, which would be measured in place of its work.
 */
export async function warmUp(trial: Trial, milliseconds: number): Promise<void> {
  const { groups } = trial.options;
  await Promise.all(
    trial.proxies.flatMap((proxy) =>
      Array.from({ length: CONNECTIONS_PER_PROXY }, async (_, index) => {
        const connection = await trial.connectToProxy(proxy, groups[index % groups.length] ?? '');
        try {
          await repeatFor(milliseconds, async () => {
            await connection.query(`/* wisterialift kind=lookup */ ${READ}`, ['absent']);
            await connection.query(`/* wisterialift kind=history */ ${READ}`, ['absent']);
            if (index === 0) await connection.query(WRITE);
          });
        } finally {
          connection.destroy();
        }
      }),
    ),
  );
}
