import type { GroupEngineView } from '@wisterialift/core';
import type { InstanceStatus } from '@wisterialift/proxy';
import type { Instance } from '@wisterialift/schema';
import { formatPosition } from '@wisterialift/schema';
import { Command } from 'commander';
import { renderTable } from '@wisterialift/telemetry';
import type { AdministrationClient } from '../client/administrationClient';
import { askInstances } from './askInstances';
import type { InstanceAnswer } from './askInstances';
import { addConnectionOptions, connect, writeAnswer } from './commandContext';
import type { CommandContext, ConnectionOptions } from './commandContext';

/** `status`: every instance with the configuration number in force there. @internal */
export function createStatusCommand(context: CommandContext): Command {
  const command = new Command('status').description(
    'show each instance, its state and the configuration number in force there',
  );
  return addConnectionOptions(command).action(async (options: ConnectionOptions) => {
    const answers = await askInstances<InstanceStatus>(connect(context, options), '/v1/status');
    const value = { instances: answers };
    writeAnswer(context, options, { value, text: () => renderStatus(answers) });
  });
}

/** `group list|show`. @internal */
export function createGroupCommand(context: CommandContext): Command {
  const command = new Command('group').description(
    'show the upstream groups as an instance sees them',
  );
  const list = new Command('list').description('one line for each group');
  addConnectionOptions(list).action(async (options: ConnectionOptions) => {
    const client = connect(context, options);
    const value = await client.get<{ groups: GroupEngineView[] }>('/v1/groups');
    writeAnswer(context, options, { value, text: () => renderGroups(value.groups) });
  });
  const show = new Command('show').description('the members of a group').argument('<group>');
  addConnectionOptions(show).action(async (name: string, options: ConnectionOptions) => {
    const client = connect(context, options);
    const value = await client.get<GroupEngineView>(`/v1/groups/${encodeURIComponent(name)}`);
    writeAnswer(context, options, { value, text: () => renderGroup(value) });
  });
  command.addCommand(list);
  command.addCommand(show);
  return command;
}

/** `instance list|drain`. @internal */
export function createInstanceCommand(context: CommandContext): Command {
  const command = new Command('instance').description('list instances and drain one');
  const list = new Command('list').description(
    "the platform's lagging list, as an instance has it",
  );
  addConnectionOptions(list).action(async (options: ConnectionOptions) => {
    const value = await listInstances(connect(context, options));
    writeAnswer(context, options, { value, text: () => renderInstances(value.instances) });
  });
  const drain = new Command('drain')
    .description('mark an instance as leaving; it finishes what is in flight and stops')
    .argument('<instance>');
  addConnectionOptions(drain).action(async (name: string, options: ConnectionOptions) => {
    const path = `/v1/instances/${encodeURIComponent(name)}/drain`;
    const value = await connect(context, options).post<{ instance: string; state: string }>(path);
    writeAnswer(context, options, { value, text: () => `${value.instance} is ${value.state}\n` });
  });
  command.addCommand(list);
  command.addCommand(drain);
  return command;
}

function listInstances(client: AdministrationClient): Promise<{ instances: Instance[] }> {
  return client.get<{ instances: Instance[] }>('/v1/instances');
}

function renderStatus(answers: readonly InstanceAnswer<InstanceStatus>[]): string {
  const rows = answers.map(({ instance, answer, error }) => {
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
