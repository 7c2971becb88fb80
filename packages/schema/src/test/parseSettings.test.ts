import { describe, expect, it } from 'vitest';
import { SettingsError, parseSettings } from '../index';

const MINIMAL_SETTINGS = `
[instance]
name = "entry-1"
dataCentre = "sesto-dc"
region = "lomb-nord"
[callers]
port = 3306
[peers]
port = 7100
[administration]
port = 7200
token = "operator-token"
[platform]
address = "http://127.0.0.1:7000"
`;

/** Parses the text and returns each fault as `key: reason`. */
function listFaults(text: string): string[] {
  try {
    parseSettings({ file: 'proxy.toml', text });
    return [];
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    return error.issues.map(({ key, reason }) => `${key}: ${reason}`);
  }
}

describe('parseSettings', () => {
  it('fills in every default', () => {
    expect(parseSettings({ file: 'proxy.toml', text: MINIMAL_SETTINGS })).toMatchSnapshot();
  });

  it('lists every fault with its key', () => {
    const text = `${MINIMAL_SETTINGS}
retries = 3
[limits]
queueLength = "many"
retryShare = 7
[log]
level = "loud"
`;
    expect(listFaults(text)).toMatchSnapshot();
  });

  it('reports line and column of invalid TOML', () => {
    expect(listFaults('[instance\nname = 1')).toMatchSnapshot();
  });
});
