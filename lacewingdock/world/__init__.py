"""Support for the objects of the deployment: workspaces, versions, links."""
