import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { LineGroup } from './lineGroup';

/** An order to promote that arrived. */
export interface PromotionCall {
  group: string;
  id: string;
  holder: string;
  token: number;
}

/** Takes orders to promote. */
export interface DutyServer {
  address: string;
  calls: PromotionCall[];
  close: () => Promise<void>;
}

export async function startDutyServer(
  findGroup: (name: string) => LineGroup | undefined,
): Promise<DutyServer> {
  const calls: PromotionCall[] = [];
  const server = createServer((request, response) => {
    let text = '';
    request.on('data', (chunk: Buffer) => {
      text += chunk.toString('utf8');
    });
    request.on('end', () => {
      const { service, id } = JSON.parse(text) as { service: string; id: string };
      calls.push({
        group: service,
        id,
        holder: String(request.headers['x-duty-holder']),
        token: Number(request.headers['x-fencing-token']),
      });
      response.writeHead(findGroup(service)?.promote(id) ? 200 : 409);
      response.end();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen({ host: '127.0.0.1', port: 0 }, resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    calls,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
