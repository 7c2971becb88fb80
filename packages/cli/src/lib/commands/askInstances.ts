import type { Instance } from '@wisterialift/schema';
import type { AdministrationClient } from '../client/administrationClient';

/** What one instance answered, or why it did not. @internal */
export interface InstanceAnswer<Answer> {
  instance: string;
  answer?: Answer;
  error?: string;
}

/** Instances asked at the same time. */
const PARALLEL_QUESTIONS = 32;

/**
 * Asks every instance of the list that the first one has.
 *
 * An instance that does not answer is part of the result, since an operator wants to see it.
 *
 * @internal
 */
export async function askInstances<Answer>(
  client: AdministrationClient,
  path: string,
): Promise<InstanceAnswer<Answer>[]> {
  const { instances } = await client.get<{ instances: Instance[] }>('/v1/instances');
  const answers: InstanceAnswer<Answer>[] = [];
  for (let start = 0; start < instances.length; start += PARALLEL_QUESTIONS) {
    const batch = instances.slice(start, start + PARALLEL_QUESTIONS);
    answers.push(
      ...(await Promise.all(batch.map((instance) => askInstance<Answer>(client, instance, path)))),
    );
  }
  return answers;
}

async function askInstance<Answer>(
  client: AdministrationClient,
  instance: Instance,
  path: string,
): Promise<InstanceAnswer<Answer>> {
  try {
    const answer = await client.at(instance.administrationAddress).get<Answer>(path);
    return { instance: instance.name, answer };
  } catch (error) {
    return { instance: instance.name, error: (error as Error).message };
  }
}
