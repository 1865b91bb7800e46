declare const brand: unique symbol;

/** A string type for one kind of identifier, which is not assignable to another kind. */
export type Branded<Kind extends string> = string & { readonly [brand]: Kind };

export type ServiceId = Branded<'service'>;
export type EndpointId = Branded<'endpoint'>;
export type InstanceId = Branded<'instance'>;
/** One run of a process, of an instance or an endpoint. */
export type Incarnation = Branded<'incarnation'>;
/** Version of the software of an endpoint. */
export type EndpointVersion = Branded<'endpoint-version'>;
export type TenantId = Branded<'tenant'>;
/** Name of a workspace: the customers whose callers share keys, a quota and a priority. */
export type WorkspaceId = Branded<'workspace'>;
/** Name of a rate limit that all instances share. */
export type LimitKey = Branded<'limit'>;
export type RequestId = Branded<'request'>;
export type CommandId = Branded<'command'>;
export type FailureDomain = Branded<'failure-domain'>;
export type ClassName = Branded<'class'>;

/** Valid names chosen by operators, which appear in stored keys, metric labels and commands. */
export const namePattern = /^[a-z0-9](?:[a-z0-9-]{0,62}[a-z0-9])?$/;

/**
 * Validates a name and brands it as an identifier.
 *
 * @param text - Lower-case letters, digits and inner hyphens, 1 to 64 characters.
 * @returns The branded name.
 * @throws RangeError when the name is not valid.
 */
export function toName<Id extends Branded<string>>(text: string): Id {
  if (!namePattern.test(text)) {
    throw new RangeError(
      `name ${JSON.stringify(text)} is not 1 to 64 lower-case letters, digits and inner hyphens`,
    );
  }
  return text as Id;
}
