/** Addresses and place of one proxy. */
export interface ProxyPlace {
  name: string;
  dataCentre: string;
  region: string;
  callersPort: number;
  peersPort: number;
  administrationPort: number;
  administrationToken: string;
  platformAddress: string;
}

/** Writes the settings file of a proxy. */
export function createSettingsText(
  place: ProxyPlace,
  changes: Record<string, Record<string, string | number>>,
): string {
  const { name, dataCentre, region } = place;
  const tables: Record<string, Record<string, string | number>> = {
    instance: { name, dataCentre, region },
    callers: { host: '127.0.0.1', port: place.callersPort },
    peers: { host: '127.0.0.1', port: place.peersPort },
    administration: {
      host: '127.0.0.1',
      port: place.administrationPort,
      token: place.administrationToken,
    },
    platform: { address: place.platformAddress },
  };
  Object.entries(changes).forEach(([table, values]) => {
    tables[table] = { ...tables[table], ...values };
  });
  return Object.entries(tables).map(formatTable).join('\n');
}

/** A string of JSON is also one of TOML. */
function formatTable([name, values]: [string, Record<string, string | number>]): string {
  const lines = Object.entries(values).map(([key, value]) => `${key} = ${JSON.stringify(value)}\n`);
  return `[${name}]\n${lines.join('')}`;
}
