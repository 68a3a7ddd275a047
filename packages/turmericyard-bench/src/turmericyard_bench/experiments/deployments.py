"""Deployments of the two users, also at ten times their size."""

from configparser import ConfigParser, SectionProxy
from importlib.resources import files

from pydantic import TypeAdapter

from turmericyard_bench.experiments.workload import Deployment, ProductLoad

SCALE_FACTOR = 10


def read_deployments() -> dict[str, Deployment]:
    """Return the deployments of the settings file, also scaled up, by name."""
    parser = ConfigParser()
    folder = files('turmericyard_bench.experiments')
    parser.read_string((folder / 'deployments.ini').read_text('utf-8'))
    products = {
        section.name.split()[1]: read_product(section)
        for section in parser.values()
        if section.name.startswith('product ')
    }
    deployments = [
        read_deployment(section, products)
        for section in parser.values()
        if section.name.startswith('deployment ')
    ]
    deployments.extend([scale_up(base, SCALE_FACTOR) for base in deployments])
    return {deployment.name: deployment for deployment in deployments}


def read_product(section: SectionProxy) -> ProductLoad:
    """Return the product that a section describes."""
    return TypeAdapter(ProductLoad).validate_python(
        {'name': section.name.split()[1], **section},
    )


def read_deployment(
    section: SectionProxy,
    products: dict[str, ProductLoad],
) -> Deployment:
    """Return the deployment that a section describes."""
    return Deployment(
        name=section.name.split()[1],
        zones=tuple(section['zones'].split()),
        engines=int(section['engines']),
        products=tuple(products[name] for name in section['products'].split()),
        workspaces=tuple(map(int, section['workspaces'].split())),
        tail_weight=float(section['tail_weight']),
        saturation=float(section['saturation']),
    )


def scale_up(deployment: Deployment, factor: int) -> Deployment:
    """Return a deployment with `factor` times the engines and workspaces."""
    return Deployment(
        f'{deployment.name}-{factor}',
        deployment.zones,
        deployment.engines * factor,
        deployment.products,
        deployment.workspaces * factor,
        deployment.tail_weight,
        deployment.saturation * factor,
    )


DEPLOYMENTS = read_deployments()
