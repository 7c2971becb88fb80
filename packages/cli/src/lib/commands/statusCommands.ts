import type { GroupEngineView } from '@wisterialift/core';
import type { InstanceStatus } from '@wisterialift/proxy';
import type { Instance } from '@wisterialift/schema';
import { formatPosition } from '@wisterialift/schema';
import { Command } from 'commander';
import { renderTable } from '@wisterialift/telemetry';
import type { AdministrationClient } from '../client/administrationClient';
import { requestFromInstances } from './requestFromInstances';
import type { InstanceResult } from './requestFromInstances';
import { addConnectionOptions, createClient, writeResult } from './commandContext';
import type { CommandContext, ConnectionOptions } from './commandContext';

/** `status`: shows all instances, with the number of their current configuration. @internal */
export function createStatusCommand(context: CommandContext): Command {
  const command = new Command('status').description(
    'show each instance, its state and the configuration number in force there',
  );
  return addConnectionOptions(command).action(async (options: ConnectionOptions) => {
    const results = await requestFromInstances<InstanceStatus>(
      createClient(context, options),
      '/v1/status',
    );
    const value = { instances: results };
    writeResult(context, options, { value, text: () => renderStatus(results) });
  });
}

/** `group list|show`. @internal */
export function createGroupCommand(context: CommandContext): Command {
  const command = new Command('group').description(
    'show the upstream groups as an instance sees them',
  );
  const list = new Command('list').description('list the groups');
  addConnectionOptions(list).action(async (options: ConnectionOptions) => {
    const client = createClient(context, options);
    const value = await client.get<{ groups: GroupEngineView[] }>('/v1/groups');
    writeResult(context, options, { value, text: () => renderGroups(value.groups) });
  });
  const show = new Command('show').description('show the members of a group').argument('<group>');
  addConnectionOptions(show).action(async (name: string, options: ConnectionOptions) => {
    const client = createClient(context, options);
    const value = await client.get<GroupEngineView>(`/v1/groups/${encodeURIComponent(name)}`);
    writeResult(context, options, { value, text: () => renderGroup(value) });
  });
  command.addCommand(list);
  command.addCommand(show);
  return command;
}

/** `instance list|drain`. @internal */
export function createInstanceCommand(context: CommandContext): Command {
  const command = new Command('instance').description('list instances and drain one');
  const list = new Command('list').description(
    "list the instances known to the addressed instance; may lag behind the platform's list",
  );
  addConnectionOptions(list).action(async (options: ConnectionOptions) => {
    const value = await listInstances(createClient(context, options));
    writeResult(context, options, { value, text: () => renderInstances(value.instances) });
  });
  const drain = new Command('drain')
    .description('mark an instance as leaving; it completes requests in flight and stops')
    .argument('<instance>');
  addConnectionOptions(drain).action(async (name: string, options: ConnectionOptions) => {
    const path = `/v1/instances/${encodeURIComponent(name)}/drain`;
    const value = await createClient(context, options).post<{ instance: string; state: string }>(
      path,
    );
    writeResult(context, options, { value, text: () => `${value.instance} is ${value.state}\n` });
  });
  command.addCommand(list);
  command.addCommand(drain);
  return command;
}

function listInstances(client: AdministrationClient): Promise<{ instances: Instance[] }> {
  return client.get<{ instances: Instance[] }>('/v1/instances');
}

function renderStatus(results: readonly InstanceResult<InstanceStatus>[]): string {
  const rows = results.map(({ instance, answer, error }) => {
    if (!answer) return [instance, '-', 'not answering', '-', '-', error ?? ''];
    return [
      instance,
      answer.instance.dataCentre,
      answer.state,
      `${answer.configurationNumber}`,
      `${answer.callerConnections}`,
      answer.groups.map(({ group, primary }) => `${group}=${primary ?? 'no primary'}`).join(' '),
    ];
  });
  const headings = ['instance', 'data centre', 'state', 'configuration', 'callers', 'primaries'];
  return renderTable([headings, ...rows]);
}

function renderGroups(groups: readonly GroupEngineView[]): string {
  const rows = groups.map(({ group, primary, term, phase, queued, running }) => [
    group,
    primary ?? '-',
    `${term}`,
    phase,
    `${queued}`,
    `${running}`,
  ]);
  return renderTable([['group', 'primary', 'term', 'phase', 'queued', 'running'], ...rows]);
}

function renderGroup(view: GroupEngineView): string {
  const rows = view.members.map((member) => [
    member.name,
    member.dataCentre,
    member.isLeaving ? `${member.role}, leaving` : member.role,
    member.applied ? formatPosition(member.applied) : '-',
    member.silentMilliseconds === undefined
      ? 'never'
      : `${Math.round(member.silentMilliseconds)} ms`,
    `${member.running}/${member.connectionShare}`,
  ]);
  const headings = ['member', 'data centre', 'role', 'applied', 'silent', 'running/share'];
  return `${renderGroups([view])}\n${renderTable([headings, ...rows])}`;
}

function renderInstances(instances: readonly Instance[]): string {
  const rows = instances.map(({ name, dataCentre, region, state, administrationAddress }) => [
    name,
    dataCentre,
    region,
    state,
    administrationAddress,
  ]);
  return renderTable([['instance', 'data centre', 'region', 'state', 'administration'], ...rows]);
}
