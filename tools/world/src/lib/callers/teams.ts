import type { Random } from '@wisterialift/fuzz';
import { createTeamDirectory } from '@wisterialift/gateway';
import type { Team, TeamDirectory } from '@wisterialift/gateway';
import type { Experiment } from '../experiment/experimentSchema';

/** A team of callers in a world. @internal */
export interface WorldTeam {
  name: string;
  keyDigest: string;
  /** Part of all operations, relative to the other teams. */
  weight: number;
  /** Its usual part. */
  usualWeight: number;
  rate: number;
  burst: number;
  isRevoked: boolean;
  isLimitLowered: boolean;
}

/** The teams of a world, as its operator and its callers change them. @internal */
export interface WorldTeams {
  all: readonly WorldTeam[];
  /** The load now, relative to the usual one. */
  loadFactor: () => number;
  /** Draws the team of an operation by weight. */
  draw: (random: Random) => WorldTeam | undefined;
  /** What the configuration says of them; undefined where there are none. */
  describe: () => TeamDirectory | undefined;
}

/** The team of rank n has an nth of the load of the largest one. @internal */
export function createWorldTeams({ deployment, load }: Experiment): WorldTeams {
  const { teams, dataCentres } = deployment;
  const total = load.factor * dataCentres.reduce((sum, place) => sum + place.load, 0);
  const count = teams?.count ?? 0;
  const weights = Array.from({ length: count }, (_, index) => 1 / (index + 1));
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  const all = weights.map((weight, index): WorldTeam => {
    const rate = Math.ceil((total * weight * teams!.headroom) / totalWeight);
    const name = `team-${index + 1}`;
    const keyDigest = `digest-${name}`;
    return {
      name,
      keyDigest,
      weight,
      usualWeight: weight,
      rate,
      burst: rate,
      isRevoked: false,
      isLimitLowered: false,
    };
  });

  const describeTeam = ({ name, keyDigest, rate, burst, isRevoked }: WorldTeam): Team => ({
    name,
    keyDigests: isRevoked ? [] : [keyDigest],
    limit: { rate, burst },
  });

  const sumWeights = () => all.reduce((sum, { weight }) => sum + weight, 0);

  return {
    all,
    loadFactor: () => (teams ? sumWeights() / totalWeight : 1),
    draw: (random) => {
      let left = random.next() * sumWeights();
      for (const team of all) {
        left -= team.weight;
        if (left < 0) return team;
      }
      return all.at(-1);
    },
    describe: () => (teams ? createTeamDirectory(all.map(describeTeam)) : undefined),
  };
}
