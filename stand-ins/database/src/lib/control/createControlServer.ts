import fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import type { Engine } from '../engine/createEngine';
import type { FaultSettings, Faults } from '../faults/createFaults';
import type { Member } from '../group/createMember';
import type { StatementCounters } from '../session/createStatementCounters';
import type { Log } from '../log/createLog';

const milliseconds = { type: 'number', minimum: 0, maximum: 3_600_000 };
const count = { type: 'integer', minimum: 0, maximum: 1_000_000 };

/** JSON schema of the faults that one call may change. */
const FAULT_CHANGES = {
  type: 'object',
  additionalProperties: false,
  properties: {
    replicationLagMilliseconds: milliseconds,
    applyLagMilliseconds: milliseconds,
    cutFromGroup: { type: 'boolean' },
    frozen: { type: 'boolean' },
    answerDelayMilliseconds: milliseconds,
    loseNextAnswers: count,
    loseNextGroupAnswers: count,
    refuseConnections: { type: 'boolean' },
    serviceMilliseconds: milliseconds,
  },
};

/** What the control port shows and switches. */
export interface ControlOptions {
  member: Member;
  log: Log;
  engine: Engine;
  faults: Faults;
  /** Open connections of callers. */
  countConnections: () => number;
  counters: StatementCounters;
}

/** Creates the HTTP server of the control port; it answers also while the database is frozen. */
export function createControlServer(options: ControlOptions): FastifyInstance {
  const { member, log, engine, faults, countConnections, counters } = options;
  const server = fastify({
    forceCloseConnections: true,
    ajv: { customOptions: { removeAdditional: false, coerceTypes: false } },
  });

  server.get('/health', () => ({
    status: member.status(),
    connections: countConnections(),
    statements: counters.read(),
    faults: faults.settings(),
  }));
  server.get('/log', () => ({ entries: log.entriesAfter(0, log.end().index) }));
  server.get<{ Querystring: { sql?: string } }>('/rows', (request, reply) => {
    try {
      return toJson(engine.read(request.query.sql ?? '', []));
    } catch (error) {
      return reply.code(400).send({ error: String(error) });
    }
  });
  server.put<{ Body: Partial<FaultSettings> }>(
    '/faults',
    { schema: { body: FAULT_CHANGES } },
    (request) => {
      faults.change(request.body);
      return faults.settings();
    },
  );
  return server;
}

/** Rows as objects; integers as numbers where they fit, bytes in base64. */
function toJson(answer: ReturnType<Engine['read']>): { rows: Record<string, unknown>[] } {
  return {
    rows: answer.rows.map((row) =>
      Object.fromEntries(answer.columns.map((name, index) => [name, toJsonValue(row[index])])),
    ),
  };
}

function toJsonValue(value: unknown): unknown {
  if (typeof value === 'bigint') {
    return Number.isSafeInteger(Number(value)) ? Number(value) : value.toString();
  }
  return value instanceof Uint8Array ? Buffer.from(value).toString('base64') : value;
}
