// Which places reach each other: zones, or hosts in them as `zone/host`. A cut is silent: what is sent
// across it waits or is lost.

export function createNetwork() {
  let isCut = () => false;
  const listeners = new Set();

  const reaches = (from, to) => from === to || !isCut(from, to);

  return {
    reaches,
    /** @param decide - tells whether two places do not reach each other. */
    cut: (decide) => {
      isCut = (from, to) => decide(from, to) || decide(to, from);
      for (const listener of listeners) listener();
    },
    heal: () => {
      isCut = () => false;
      for (const listener of listeners) listener();
    },
    createLink: (from, to) => ({
      isOpen: () => reaches(from, to),
      onChange: (listener) => listeners.add(listener),
    }),
  };
}
