/** Resolves to true at the first true answer, or to false if all answers are false. */
export function waitForFirstTrue(answers: readonly Promise<boolean>[]): Promise<boolean> {
  return new Promise((resolve) => {
    for (const answer of answers) void answer.then((isTrue) => isTrue && resolve(true));
    void Promise.all(answers).then(() => resolve(false));
  });
}
